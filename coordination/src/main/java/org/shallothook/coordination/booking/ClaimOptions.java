package org.shallothook.coordination.booking;

/**
 * Options of claims.
 *
 * <p>Invariant: equal in the whole fleet; every number is positive. Immutable and thread-safe.
 *
 * @param partitions number of partitions of the claims, each a stream of the log
 * @param windowMicros time for which a key is remembered, in microseconds
 * @param clockSkewMicros greatest error of a clock that made a key, in microseconds
 * @param retentionMicros time for which the log keeps a record, in microseconds
 * @param appendIntervalMicros shortest time between two appends to a partition, in microseconds
 */
public record ClaimOptions(
    int partitions,
    long windowMicros,
    long clockSkewMicros,
    long retentionMicros,
    long appendIntervalMicros) {
  private static final long MINUTE_MICROS = 60_000_000;

  /** Options of a fleet whose settings name none. */
  public static final ClaimOptions DEFAULT =
      new ClaimOptions(64, 30 * MINUTE_MICROS, 5 * MINUTE_MICROS, 60 * MINUTE_MICROS, 300_000);

  public ClaimOptions {
    if (partitions <= 0
        || windowMicros <= 0
        || clockSkewMicros <= 0
        || retentionMicros <= 0
        || appendIntervalMicros <= 0) {
      throw new IllegalArgumentException("Every option of claims must be positive.");
    }
  }

  /** Returns for how long a claim is remembered, so that no key within the window is forgotten. */
  public long memoryMicros() {
    return windowMicros + 2 * clockSkewMicros;
  }

  /** Returns whether claims must be carried, because the log drops them within the memory. */
  public boolean needsCarrying() {
    return retentionMicros < memoryMicros();
  }
}
