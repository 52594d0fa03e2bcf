package org.shallothook.transport.decision;

/**
 * Settings of a decision thread.
 *
 * <p>Invariant: the ring size is a power of two and at least {@link #MINIMUM_RING_SIZE}. Immutable
 * and thread-safe.
 *
 * @param name name of the thread
 * @param ringSize capacity of the ring buffer, in events
 * @param tickIntervalMicros maximum time between two ticks, in microseconds
 */
public record DecisionSettings(String name, int ringSize, long tickIntervalMicros) {
  /** Minimum capacity of the ring buffer, in events. */
  public static final int MINIMUM_RING_SIZE = 8;

  private static final int RESERVED_SLOTS_DIVISOR = 4;

  public DecisionSettings {
    if (ringSize < MINIMUM_RING_SIZE || Integer.bitCount(ringSize) != 1) {
      throw new IllegalArgumentException(
          "The ring size must be a power of two and at least "
              + MINIMUM_RING_SIZE
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
