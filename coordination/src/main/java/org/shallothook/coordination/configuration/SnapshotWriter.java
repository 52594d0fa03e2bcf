package org.shallothook.coordination.configuration;

import java.util.Optional;
import java.util.SplittableRandom;
import org.shallothook.coordination.port.AppendKind;
import org.shallothook.coordination.port.Outbox;
import org.shallothook.state.configuration.ConfigurationLog;
import org.shallothook.state.configuration.ConfigurationRecord;
import org.shallothook.state.configuration.ConfigurationRecordText;
import org.shallothook.state.configuration.ConfigurationState;

/**
 * Appends a snapshot of the configuration before the records that the configuration was built from
 * expire.
 *
 * <p>Concurrent writers are harmless: the parts of a snapshot depend only on its offset, and each
 * writer appends only the parts that it has not read from the log. Jitter usually lets one writer
 * start first.
 *
 * <p>Invariant: appends at most {@link #MAX_PARTS_PER_BATCH} parts per {@link
 * #BATCH_INTERVAL_MICROS}. Not thread-safe.
 */
final class SnapshotWriter {
  /** Maximum number of parts that are appended before they are read back. */
  static final int MAX_PARTS_PER_BATCH = 16;

  /** Time after which parts that were not read back are appended again, in microseconds. */
  static final long BATCH_INTERVAL_MICROS = 5_000_000;

  /** Age of the oldest record in use at which a snapshot is due, as a divisor of the retention. */
  private static final long RENEWAL_DIVISOR = 2;

  /** Upper bound of the jitter, as a divisor of the retention. */
  private static final long JITTER_DIVISOR = 8;

  private final Outbox outbox;
  private final long retentionMicros;
  private final long jitterMicros;
  private Optional<ConfigurationState> unfinishedSnapshot = Optional.empty();
  private long nextBatchMicros;
  private long appends;

  SnapshotWriter(Outbox outbox, ConfigurationOptions options) {
    this.outbox = outbox;
    this.retentionMicros = options.retentionMicros();
    this.jitterMicros =
        new SplittableRandom(options.instance().hashCode())
            .nextLong(Math.max(1, retentionMicros / JITTER_DIVISOR));
  }

  long appends() {
    return appends;
  }

  void onTick(ConfigurationLog log, long firstRetainedOffset, long nowMicros) {
    if (nowMicros < nextBatchMicros) {
      return;
    }
    if (unfinishedSnapshot.isPresent() && isComplete(log, unfinishedSnapshot.get())) {
      unfinishedSnapshot = Optional.empty();
    }
    if (unfinishedSnapshot.isEmpty() && isDue(log, firstRetainedOffset, nowMicros)) {
      unfinishedSnapshot = Optional.of(log.state());
    }
    if (unfinishedSnapshot.isPresent()) {
      nextBatchMicros = nowMicros + BATCH_INTERVAL_MICROS;
      appendMissing(log, unfinishedSnapshot.get());
    }
  }

  private boolean isDue(ConfigurationLog log, long firstRetainedOffset, long nowMicros) {
    Optional<Long> oldestAtMicros = log.oldestRetainedAtMicros();
    if (oldestAtMicros.isEmpty() || log.isCollecting()) {
      return false;
    }
    long dueMicros = oldestAtMicros.get() + retentionMicros / RENEWAL_DIVISOR + jitterMicros;
    return nowMicros >= dueMicros || firstRetainedOffset > log.oldestRetainedOffset().orElseThrow();
  }

  /**
   * Returns whether the snapshot of a state, or a newer one, is complete in the log. The older
   * records have then been dropped from memory.
   */
  private static boolean isComplete(ConfigurationLog log, ConfigurationState state) {
    return log.oldestRetainedOffset().filter(offset -> offset >= state.offset()).isPresent();
  }

  private void appendMissing(ConfigurationLog log, ConfigurationState state) {
    int appended = 0;
    for (ConfigurationRecord.SnapshotPart part : state.snapshot()) {
      if (appended < MAX_PARTS_PER_BATCH && !log.hasSnapshotPart(part.at(), part.part())) {
        outbox.appendLog(
            AppendKind.SNAPSHOTS, ConfigurationReplica.STREAM, ConfigurationRecordText.write(part));
        appended++;
        appends++;
      }
    }
  }
}
