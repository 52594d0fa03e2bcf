package org.shallothook.standins.http;

import java.time.Instant;
import java.time.temporal.ChronoUnit;

/**
 * Wall clock in microseconds that never goes back.
 *
 * <p>Immutable and thread-safe.
 */
public final class StandinClock {
  private static final long MICROSECOND_NANOS = 1_000;

  private final long startMicros = ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now());
  private final long startNanos = System.nanoTime();

  /** Returns the microseconds since the epoch. */
  public long nowMicros() {
    return startMicros + (System.nanoTime() - startNanos) / MICROSECOND_NANOS;
  }
}
