package org.shallothook.coordination.booking;

/**
 * Options of claims.
 *
 * <p>Invariant: equal in the whole fleet; every number is positive. Immutable and thread-safe.
 *
 * @param partitions number of partitions of the claims; each is a stream of the log
 * @param windowMicros time for which an idempotency key is valid after its creation, in
 *     microseconds
 * @param clockSkewMicros maximum error of the clock of a client that creates keys, in microseconds
 * @param retentionMicros time for which the log retains a record, in microseconds
 * @param appendIntervalMicros minimum time between two appends to a partition, in microseconds
 */
public record ClaimOptions(
    int partitions,
    long windowMicros,
    long clockSkewMicros,
    long retentionMicros,
    long appendIntervalMicros) {
  private static final long MINUTE_MICROS = 60_000_000;

  /** Default options: 64 partitions, a window of 30 minutes and a log retention of one hour. */
  public static final ClaimOptions DEFAULT =
      new ClaimOptions(64, 30 * MINUTE_MICROS, 5 * MINUTE_MICROS, 60 * MINUTE_MICROS, 300_000);

  public ClaimOptions {
    if (partitions <= 0
        || windowMicros <= 0
        || clockSkewMicros <= 0
        || retentionMicros <= 0
        || appendIntervalMicros <= 0) {
      throw new IllegalArgumentException("Every claim option must be positive.");
    }
  }

  /**
   * Returns how long a claim must be retained, in microseconds. This exceeds the window by twice
   * the clock skew, so that no claim is dropped while its key is within the window.
   */
  public long claimRetentionMicros() {
    return windowMicros + 2 * clockSkewMicros;
  }

  /** Returns whether claims must be rewritten because the log drops them before they expire. */
  public boolean needsRewriting() {
    return retentionMicros < claimRetentionMicros();
  }
}
