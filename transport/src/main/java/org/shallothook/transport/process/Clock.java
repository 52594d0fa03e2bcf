package org.shallothook.transport.process;

import java.time.Instant;
import java.time.temporal.ChronoUnit;

/**
 * Wall clock of a process.
 *
 * <p>Stateless and thread-safe.
 */
public final class Clock {
  private Clock() {}

  /** Returns the time in microseconds since the epoch. */
  public static long nowMicros() {
    return ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now());
  }
}
