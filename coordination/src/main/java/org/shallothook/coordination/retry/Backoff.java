package org.shallothook.coordination.retry;

import java.util.SplittableRandom;

/**
 * Spreads retries over time: exponential with full jitter.
 *
 * <p>Invariant: a wait is never longer than the maximum. Not thread-safe.
 */
public final class Backoff {
  private static final int MAXIMUM_DOUBLINGS = 16;

  private final long baseMicros;
  private final long maximumMicros;
  private final SplittableRandom random;

  /**
   * Creates a back-off.
   *
   * @param baseMicros greatest wait before the first retry, in microseconds
   * @param maximumMicros greatest wait before any retry, in microseconds
   * @param random seeded source of jitter
   */
  public Backoff(long baseMicros, long maximumMicros, SplittableRandom random) {
    this.baseMicros = baseMicros;
    this.maximumMicros = maximumMicros;
    this.random = random;
  }

  /**
   * Returns when to retry.
   *
   * @param retry number of the retry, from 1
   * @param nowMicros time of the failure
   */
  public long retryAtMicros(int retry, long nowMicros) {
    long doubled = baseMicros << Math.min(MAXIMUM_DOUBLINGS, retry - 1);
    return nowMicros + random.nextLong(Math.min(doubled, maximumMicros) + 1);
  }
}
