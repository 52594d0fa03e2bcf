package org.shallothook.router;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Offsets below which instances have the configuration in force, as the router last heard.
 *
 * <p>Immutable and thread-safe.
 *
 * @param offsets offset by name of the instance; -1 where it was never heard of
 */
record InForce(Map<String, Long> offsets) {
  InForce {
    offsets = new TreeMap<>(offsets);
  }

  /** Returns the instances not known to have the record at an offset in force. */
  List<String> waiting(long offset) {
    return offsets.entrySet().stream()
        .filter(entry -> entry.getValue() <= offset)
        .map(Map.Entry::getKey)
        .toList();
  }
}
