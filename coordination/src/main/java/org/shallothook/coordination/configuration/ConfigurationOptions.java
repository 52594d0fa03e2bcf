package org.shallothook.coordination.configuration;

import java.util.Objects;

/**
 * Options of the configuration replica of a process.
 *
 * <p>Invariant: every time is positive. Immutable and thread-safe.
 *
 * @param instance name of the instance; also seeds its jitter
 * @param pollIntervalMicros mean time between two reads of the log, in microseconds
 * @param retentionMicros minimum time for which the log retains a record, in microseconds
 * @param writesSnapshots whether this process re-appends the configuration before it expires
 * @param holdsTexts whether this process stores the texts of templates, which it needs to render
 *     prompts
 */
public record ConfigurationOptions(
    String instance,
    long pollIntervalMicros,
    long retentionMicros,
    boolean writesSnapshots,
    boolean holdsTexts) {
  /** Default mean time between two reads of the log, in microseconds. */
  public static final long DEFAULT_POLL_INTERVAL_MICROS = 1_000_000;

  /** Default time for which the log is expected to retain records, in microseconds. */
  public static final long DEFAULT_RETENTION_MICROS = 3_600_000_000L;

  public ConfigurationOptions {
    Objects.requireNonNull(instance, "instance");
    if (pollIntervalMicros <= 0 || retentionMicros <= 0) {
      throw new IllegalArgumentException("pollIntervalMicros and retentionMicros must be positive");
    }
  }

  /** Creates options of a process that stores the texts of templates. */
  public ConfigurationOptions(
      String instance, long pollIntervalMicros, long retentionMicros, boolean writesSnapshots) {
    this(instance, pollIntervalMicros, retentionMicros, writesSnapshots, true);
  }

  /** Returns the default options of a router, which also writes snapshots. */
  public static ConfigurationOptions ofRouter(String instance) {
    return new ConfigurationOptions(
        instance, DEFAULT_POLL_INTERVAL_MICROS, DEFAULT_RETENTION_MICROS, true);
  }

  /** Returns the options of a router with a given retention of the log, in microseconds. */
  public static ConfigurationOptions ofRouter(String instance, long retentionMicros) {
    return new ConfigurationOptions(instance, DEFAULT_POLL_INTERVAL_MICROS, retentionMicros, true);
  }

  /** Returns the default options of a sidecar, which neither writes snapshots nor stores texts. */
  public static ConfigurationOptions ofSidecar(String instance) {
    return new ConfigurationOptions(
        instance, DEFAULT_POLL_INTERVAL_MICROS, DEFAULT_RETENTION_MICROS, false, false);
  }
}
