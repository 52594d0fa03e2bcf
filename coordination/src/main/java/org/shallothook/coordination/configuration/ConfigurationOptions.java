package org.shallothook.coordination.configuration;

import java.util.Objects;

/**
 * Options of a process's configuration replica.
 *
 * <p>Invariant: every time is positive. Immutable and thread-safe.
 *
 * @param instance name of the instance; also seeds its jitter
 * @param pollIntervalMicros mean time between two reads of the log, in microseconds
 * @param retentionMicros time for which the log surely keeps a record, in microseconds
 * @param writesSnapshots whether this process re-appends the configuration before it expires
 * @param holdsTexts whether this process holds the texts of prompts, because it renders them
 */
public record ConfigurationOptions(
    String instance,
    long pollIntervalMicros,
    long retentionMicros,
    boolean writesSnapshots,
    boolean holdsTexts) {
  /** Mean time between two reads of the log unless settings name another. */
  public static final long DEFAULT_POLL_INTERVAL_MICROS = 1_000_000;

  /** Time for which the log is expected to keep records unless settings name another. */
  public static final long DEFAULT_RETENTION_MICROS = 3_600_000_000L;

  public ConfigurationOptions {
    Objects.requireNonNull(instance, "instance");
    if (pollIntervalMicros <= 0 || retentionMicros <= 0) {
      throw new IllegalArgumentException("Times of a configuration replica must be positive.");
    }
  }

  /** Creates options of a process that holds the texts of prompts. */
  public ConfigurationOptions(
      String instance, long pollIntervalMicros, long retentionMicros, boolean writesSnapshots) {
    this(instance, pollIntervalMicros, retentionMicros, writesSnapshots, true);
  }

  /** Returns the options of a router, which also writes snapshots. */
  public static ConfigurationOptions ofRouter(String instance) {
    return new ConfigurationOptions(
        instance, DEFAULT_POLL_INTERVAL_MICROS, DEFAULT_RETENTION_MICROS, true);
  }

  /** Returns the options of a router over a log of some retention. */
  public static ConfigurationOptions ofRouter(String instance, long retentionMicros) {
    return new ConfigurationOptions(instance, DEFAULT_POLL_INTERVAL_MICROS, retentionMicros, true);
  }

  /** Returns the options of a sidecar. */
  public static ConfigurationOptions ofSidecar(String instance) {
    return new ConfigurationOptions(
        instance, DEFAULT_POLL_INTERVAL_MICROS, DEFAULT_RETENTION_MICROS, false, false);
  }
}
