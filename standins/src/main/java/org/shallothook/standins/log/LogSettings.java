package org.shallothook.standins.log;

/**
 * Settings of the log.
 *
 * <p>Immutable and thread-safe.
 *
 * @param retainedRecords greatest number of records kept in a stream
 * @param retentionMicros how long a record is kept, in microseconds
 * @param appendsPerSecond greatest number of appends taken in a second
 */
public record LogSettings(int retainedRecords, long retentionMicros, int appendsPerSecond) {
  /** Settings used where none are given. */
  public static final LogSettings DEFAULT = new LogSettings(100_000, 3_600_000_000L, 500);
}
