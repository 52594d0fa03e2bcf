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
 * Appends a snapshot of the configuration before the records that it rests on expire.
 *
 * <p>Several writers at once are harmless: parts are a function of the snapshot's offset, and each
 * writer appends only parts that it has not read. Jitter lets one of them go first.
 *
 * <p>Invariant: appends at most {@link #PARTS_AT_ONCE} parts per {@link #WAIT_MICROS}. Not
 * thread-safe.
 */
final class SnapshotWriter {
  /** Greatest number of parts appended before they are read back. */
  static final int PARTS_AT_ONCE = 16;

  /** Time given to parts to be read back, in microseconds. */
  static final long WAIT_MICROS = 5_000_000;

  /** Part of the retention after which the records in use are due to be renewed. */
  private static final long DUE_DIVISOR = 2;

  private static final long JITTER_DIVISOR = 8;

  private final Outbox outbox;
  private final long retentionMicros;
  private final long jitterMicros;
  private Optional<ConfigurationState> writing = Optional.empty();
  private long nextStepMicros;
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

  void onTick(ConfigurationLog log, long firstInLog, long nowMicros) {
    if (nowMicros < nextStepMicros) {
      return;
    }
    if (writing.isPresent() && isSettled(log, writing.get())) {
      writing = Optional.empty();
    }
    if (writing.isEmpty() && isDue(log, firstInLog, nowMicros)) {
      writing = Optional.of(log.state());
    }
    if (writing.isPresent()) {
      nextStepMicros = nowMicros + WAIT_MICROS;
      appendMissing(log, writing.get());
    }
  }

  private boolean isDue(ConfigurationLog log, long firstInLog, long nowMicros) {
    Optional<Long> oldestAtMicros = log.oldestRetainedAtMicros();
    if (oldestAtMicros.isEmpty() || log.isCollecting()) {
      return false;
    }
    long dueMicros = oldestAtMicros.get() + retentionMicros / DUE_DIVISOR + jitterMicros;
    return nowMicros >= dueMicros || firstInLog > log.oldestRetainedOffset().orElseThrow();
  }

  /** A snapshot is settled when it, or a newer one, is complete: older records are then dropped. */
  private static boolean isSettled(ConfigurationLog log, ConfigurationState state) {
    return log.oldestRetainedOffset().filter(offset -> offset >= state.offset()).isPresent();
  }

  private void appendMissing(ConfigurationLog log, ConfigurationState state) {
    int appended = 0;
    for (ConfigurationRecord.SnapshotPart part : state.snapshot()) {
      if (appended < PARTS_AT_ONCE && !log.hasSnapshotPart(part.at(), part.part())) {
        outbox.appendLog(
            AppendKind.SNAPSHOTS, ConfigurationReplica.STREAM, ConfigurationRecordText.write(part));
        appended++;
        appends++;
      }
    }
  }
}
