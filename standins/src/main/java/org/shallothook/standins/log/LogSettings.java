package org.shallothook.standins.log;

/**
 * Settings of the log.
 *
 * <p>Immutable and thread-safe.
 *
 * @param retainedRecords maximum number of records retained in each stream
 * @param retentionMicros maximum age of a retained record, in microseconds
 * @param appendsPerSecond maximum number of appends per second over all streams
 */
public record LogSettings(int retainedRecords, long retentionMicros, int appendsPerSecond) {
  /** Default settings. */
  public static final LogSettings DEFAULT = new LogSettings(100_000, 3_600_000_000L, 500);
}
