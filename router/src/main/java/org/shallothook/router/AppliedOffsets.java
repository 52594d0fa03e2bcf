package org.shallothook.router;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Offset up to which (exclusive) each instance has applied the configuration log, according to the
 * last report that the router received.
 *
 * <p>Immutable and thread-safe.
 *
 * @param offsets offset by instance name; -1 if the instance has never reported one
 */
record AppliedOffsets(Map<String, Long> offsets) {
  AppliedOffsets {
    offsets = new TreeMap<>(offsets);
  }

  /** Returns the instances that are not known to have applied the record at the given offset. */
  List<String> instancesWithout(long offset) {
    return offsets.entrySet().stream()
        .filter(entry -> entry.getValue() <= offset)
        .map(Map.Entry::getKey)
        .toList();
  }
}
