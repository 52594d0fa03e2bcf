package org.shallothook.coordination.engine;

/**
 * Time between two readings of something that seldom changes: it doubles while nothing does.
 *
 * <p>Invariant: from the shortest interval to {@link #LONGEST_MICROS}. Not thread-safe: used on the
 * decision thread.
 */
final class PollInterval {
  /** Longest time between two readings, in microseconds. */
  static final long LONGEST_MICROS = 500_000;

  private final long shortestMicros;
  private long micros;

  PollInterval(long shortestMicros) {
    this.shortestMicros = shortestMicros;
    this.micros = shortestMicros;
  }

  /** Returns the time until the next reading, in microseconds. */
  long micros() {
    return micros;
  }

  /** Returns the shortest time between two readings, in microseconds. */
  long shortestMicros() {
    return shortestMicros;
  }

  /** Notes a reading that showed nothing new. */
  void lengthen() {
    micros = Math.max(shortestMicros, Math.min(LONGEST_MICROS, 2 * micros));
  }

  /** Notes a change, or work that is about to bring one. */
  void shorten() {
    micros = shortestMicros;
  }
}
