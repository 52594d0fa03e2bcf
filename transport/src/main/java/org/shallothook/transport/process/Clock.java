package org.shallothook.transport.process;

import java.time.Instant;
import java.time.temporal.ChronoUnit;
import java.util.concurrent.TimeUnit;

/**
 * Wall clock and monotonic clock of a process.
 *
 * <p>Stateless and thread-safe.
 */
public final class Clock {
  private Clock() {}

  /** Returns the time in microseconds since the epoch. */
  public static long nowMicros() {
    return ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now());
  }

  /**
   * Returns the time of a monotonic clock, in microseconds since an arbitrary origin. It does not
   * advance while the machine is suspended.
   */
  public static long steadyMicros() {
    return TimeUnit.NANOSECONDS.toMicros(System.nanoTime());
  }
}
