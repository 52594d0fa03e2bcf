package org.shallothook.router;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import org.shallothook.coordination.forward.ForwardEvent;
import org.shallothook.state.log.KeyedRecord;
import org.shallothook.state.route.ServerEntry;

/**
 * Translates records of the server registry into events.
 *
 * <p>Invariant: the events are in the order of the records, so that of an entry and a removal of
 * one server the later one holds; an entry is left out if a later record of its server follows, so
 * that no request is sent in between. Stateless and thread-safe.
 */
final class ServerRecords {
  private ServerRecords() {}

  /**
   * Returns the events of records that were read at once.
   *
   * @param parser returns the entry of a record; empty if it was removed or cannot be read
   * @param completesList whether all existing entries are known with these
   */
  static List<ForwardEvent> events(
      List<KeyedRecord> records,
      Function<KeyedRecord, Optional<ServerEntry>> parser,
      boolean completesList) {
    Map<String, KeyedRecord> latest = new HashMap<>();
    records.forEach(record -> latest.put(record.key(), record));
    List<ForwardEvent> events = new ArrayList<>();
    List<ServerEntry> listed = new ArrayList<>();
    for (KeyedRecord record : records) {
      Optional<ServerEntry> entry = parser.apply(record);
      boolean isLatest = record.equals(latest.get(record.key()));
      if (entry.isPresent() && isLatest) {
        listed.add(entry.get());
      } else if (entry.isEmpty()) {
        if (!listed.isEmpty()) {
          events.add(new ForwardEvent.ServersRead(List.copyOf(listed), false));
          listed.clear();
        }
        events.add(new ForwardEvent.ServerRemoved(record.key()));
      }
    }
    events.add(new ForwardEvent.ServersRead(List.copyOf(listed), completesList));
    return events;
  }
}
