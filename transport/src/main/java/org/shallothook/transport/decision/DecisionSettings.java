package org.shallothook.transport.decision;

/**
 * Settings of a decision thread.
 *
 * <p>Invariant: the ring size is a power of two and at least {@link #SMALLEST_RING}. Immutable and
 * thread-safe.
 *
 * @param name name of the thread
 * @param ringSize capacity of the ring buffer, in events
 * @param tickIntervalMicros maximum time between two ticks, in microseconds
 */
public record DecisionSettings(String name, int ringSize, long tickIntervalMicros) {
  /** Minimum capacity of the ring buffer, in events. */
  public static final int SMALLEST_RING = 8;

  private static final int RESERVED_SLOTS_DIVISOR = 4;

  public DecisionSettings {
    if (ringSize < SMALLEST_RING || Integer.bitCount(ringSize) != 1) {
      throw new IllegalArgumentException(
          "The ring size must be a power of two and at least "
              + SMALLEST_RING
              + ", found "
              + ringSize);
    }
    if (tickIntervalMicros <= 0) {
      throw new IllegalArgumentException(
          "The tick interval must be positive, found " + tickIntervalMicros);
    }
  }

  /** Returns the number of slots reserved for {@link EventSink#deliver}. */
  int reservedSlots() {
    return ringSize / RESERVED_SLOTS_DIVISOR;
  }
}
