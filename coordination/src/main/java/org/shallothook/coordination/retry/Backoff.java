package org.shallothook.coordination.retry;

import java.util.SplittableRandom;

/**
 * Exponential back-off with full jitter.
 *
 * <p>Invariant: a delay never exceeds the maximum. Not thread-safe.
 */
public final class Backoff {
  private static final int MAXIMUM_DOUBLINGS = 16;

  private final long baseMicros;
  private final long maximumMicros;
  private final SplittableRandom random;

  /**
   * Creates a back-off.
   *
   * @param baseMicros upper bound of the delay before the first retry, in microseconds
   * @param maximumMicros upper bound of the delay before any retry, in microseconds
   * @param random seeded source of jitter
   */
  public Backoff(long baseMicros, long maximumMicros, SplittableRandom random) {
    this.baseMicros = baseMicros;
    this.maximumMicros = maximumMicros;
    this.random = random;
  }

  /**
   * Returns the time of a retry, in microseconds.
   *
   * @param retry number of the retry, from 1
   * @param nowMicros time of the failure, in microseconds
   */
  public long retryAtMicros(int retry, long nowMicros) {
    long doubled = baseMicros << Math.min(MAXIMUM_DOUBLINGS, retry - 1);
    return nowMicros + random.nextLong(Math.min(doubled, maximumMicros) + 1);
  }
}
