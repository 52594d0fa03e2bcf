package org.shallothook.coordination.engine;

/**
 * Interval between reads of state that rarely changes: doubles with each unchanged read.
 *
 * <p>Invariant: between the shortest interval and the larger of it and {@link #LONGEST_MICROS}. Not
 * thread-safe: used on the decision thread.
 */
final class PollInterval {
  /** Longest interval between two reads, in microseconds. */
  static final long LONGEST_MICROS = 500_000;

  private final long shortestMicros;
  private long micros;

  PollInterval(long shortestMicros) {
    this.shortestMicros = shortestMicros;
    this.micros = shortestMicros;
  }

  /** Returns the current interval, in microseconds. */
  long micros() {
    return micros;
  }

  /** Returns the shortest interval, in microseconds. */
  long shortestMicros() {
    return shortestMicros;
  }

  /** Doubles the interval, up to the longest, after a read without changes. */
  void lengthen() {
    micros = Math.max(shortestMicros, Math.min(LONGEST_MICROS, 2 * micros));
  }

  /** Resets to the shortest interval, after a change or before an expected one. */
  void shorten() {
    micros = shortestMicros;
  }
}
