package org.shallothook.coordination.forward;

/**
 * Measures for how long this process has been running, without the time for which it stood still.
 *
 * <p>What happens while a process stands still is seen at its end, all at once. The time between
 * two such observations is then no evidence of what lasted so long.
 *
 * <p>Invariant: does not decrease, and advances by at most {@link #MAXIMUM_STEP_MICROS} between two
 * events. Not thread-safe.
 */
final class RunningClock {
  /** Longest time between two events of a running process, in microseconds. */
  static final long MAXIMUM_STEP_MICROS = 5 * ForwardCore.TICK_INTERVAL_MICROS;

  private long lastEventMicros;
  private long stoodStillMicros;

  /** Records that an event is handled. */
  void onEvent(long nowMicros) {
    stoodStillMicros += Math.max(0, nowMicros - lastEventMicros - MAXIMUM_STEP_MICROS);
    lastEventMicros = nowMicros;
  }

  /**
   * Returns the running time at a time of the decision clock, in microseconds. It is too low for a
   * time before the last standstill.
   */
  long at(long micros) {
    return micros - stoodStillMicros;
  }
}
