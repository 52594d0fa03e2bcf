package org.shallothook.transport.decision;

/**
 * Settings of a decision thread.
 *
 * <p>Invariant: the ring size is a power of two and at least {@link #SMALLEST_RING}. Immutable and
 * thread-safe.
 *
 * @param name name of the thread
 * @param ringSize number of events that may wait
 * @param tickIntervalMicros longest time between two ticks, in microseconds
 */
public record DecisionSettings(String name, int ringSize, long tickIntervalMicros) {
  /** Smallest number of slots that a ring may have. */
  public static final int SMALLEST_RING = 8;

  private static final int OPEN_WORK_SHARE = 4;

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

  /** Returns the number of slots that only events of open work may take. */
  int reservedSlots() {
    return ringSize / OPEN_WORK_SHARE;
  }
}
