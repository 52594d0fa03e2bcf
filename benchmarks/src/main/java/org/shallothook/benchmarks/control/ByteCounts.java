package org.shallothook.benchmarks.control;

import java.util.EnumMap;
import java.util.Map;

/**
 * Bytes of one process by kind, sent and received.
 *
 * <p>Not thread-safe.
 */
public final class ByteCounts {
  private final Map<MessageKind, Long> bytes = new EnumMap<>(MessageKind.class);

  void add(MessageKind kind, long count) {
    bytes.merge(kind, count, Long::sum);
  }

  void addAll(ByteCounts other) {
    other.bytes.forEach(this::add);
  }

  /** Returns the bytes of a kind. */
  public long of(MessageKind kind) {
    return bytes.getOrDefault(kind, 0L);
  }

  /** Returns the bytes of all kinds that are control. */
  public long control() {
    return bytes.entrySet().stream()
        .filter(entry -> entry.getKey().isControl())
        .mapToLong(Map.Entry::getValue)
        .sum();
  }
}
