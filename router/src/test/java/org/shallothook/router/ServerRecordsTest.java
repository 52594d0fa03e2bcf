package org.shallothook.router;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.shallothook.coordination.forward.ForwardEvent;
import org.shallothook.state.log.KeyedRecord;
import org.shallothook.state.route.ServerEntry;

/** Entries and removals of servers that one read of the store brings. */
final class ServerRecordsTest {
  private static Optional<ServerEntry> parse(KeyedRecord record) {
    return record
        .value()
        .map(
            address ->
                new ServerEntry(
                    record.key(),
                    "bookings",
                    address,
                    "domain",
                    1,
                    false,
                    Map.of(),
                    1,
                    Optional.empty()));
  }

  /** Returns records of which each names its server and, unless it is a removal, its address. */
  private static List<KeyedRecord> records(String text) {
    List<KeyedRecord> records = new ArrayList<>();
    for (String part : text.split(" ", -1)) {
      String[] fields = part.split("=", -1);
      Optional<String> address = fields.length == 2 ? Optional.of(fields[1]) : Optional.empty();
      records.add(new KeyedRecord(records.size(), fields[0], address));
    }
    return records;
  }

  // Guards against a removed server that is used again because of an entry written before.
  @ParameterizedTest
  @CsvSource({
    "a=1 a, -a",
    "a=1 b=1 a, b=1 -a",
    "a a=2, a=2",
    "a=1 a a=2, a=2",
    "a=1 a a=2 a, -a",
    "a=1 b a=2 c=1 b=3, a=2 b=3 c=1"
  })
  void theLastRecordOfAServerHolds(String read, String expected) {
    List<String> expectedStates = List.of(expected.split(" ", -1));
    Map<String, String> known = new TreeMap<>();
    List<ForwardEvent> events = ServerRecords.events(records(read), ServerRecordsTest::parse, true);
    for (ForwardEvent event : events) {
      if (event instanceof ForwardEvent.ServersRead listed) {
        for (ServerEntry entry : listed.entries()) {
          String state = entry.id() + "=" + entry.address();
          assertThat(expectedStates).contains(state);
          known.put(entry.id(), state);
        }
      } else if (event instanceof ForwardEvent.ServerRemoved removed) {
        known.put(removed.id(), "-" + removed.id());
      }
    }
    assertThat(known.values()).containsExactlyElementsIn(expectedStates);
    assertThat(events.get(events.size() - 1)).isInstanceOf(ForwardEvent.ServersRead.class);
  }

  // Guards against a list that counts as known in full before its last entries are applied.
  @ParameterizedTest
  @CsvSource({"a=1 b, true", "a=1 b c=1, true", "a=1 b c=1, false"})
  void onlyTheLastEventCompletesTheList(String read, boolean completesList) {
    List<Boolean> completes =
        ServerRecords.events(records(read), ServerRecordsTest::parse, completesList).stream()
            .filter(ForwardEvent.ServersRead.class::isInstance)
            .map(event -> ((ForwardEvent.ServersRead) event).completesList())
            .toList();
    assertThat(completes.get(completes.size() - 1)).isEqualTo(completesList);
    assertThat(completes.subList(0, completes.size() - 1)).doesNotContain(true);
  }
}
