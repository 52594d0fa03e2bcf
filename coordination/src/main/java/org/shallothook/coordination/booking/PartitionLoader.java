package org.shallothook.coordination.booking;

import org.shallothook.coordination.port.Outbox;
import org.shallothook.state.booking.ClaimTable;
import org.shallothook.state.log.LogPage;
import org.shallothook.state.log.LogRecord;

/**
 * Loads the claims of a partition that have not expired from its stream.
 *
 * <p>It first scans backward from the end in growing strides, until it finds a record older than
 * the retention of claims or the oldest record in the log, and then reads forward from there. This
 * avoids reading the whole stream if the log has a long retention.
 *
 * <p>Invariant: at most one read is waited for at a time. Not thread-safe.
 */
final class PartitionLoader {
  /** Distance from the end of the stream at which the backward scan starts, in records. */
  private static final long INITIAL_STRIDE_RECORDS = 64;

  /** Time after which a read without a response is repeated, in microseconds. */
  private static final long READ_TIMEOUT_MICROS = 2_000_000;

  private enum Phase {
    FINDING_END,
    LOOKING_BACK,
    READING_FORWARD,
    LOADED
  }

  private final String stream;
  private final Outbox outbox;
  private final ClaimOptions options;
  private final ClaimTable table;
  private Phase phase = Phase.FINDING_END;
  private long stride = INITIAL_STRIDE_RECORDS;
  private long end;
  private boolean isReading;
  private long nextReadMicros;

  PartitionLoader(String stream, Outbox outbox, ClaimOptions options, ClaimTable table) {
    this.stream = stream;
    this.outbox = outbox;
    this.options = options;
    this.table = table;
  }

  boolean isLoaded() {
    return phase == Phase.LOADED;
  }

  /** Starts the next read unless one is in progress; repeats one that timed out. */
  void onTick(long nowMicros) {
    if (!isLoaded() && (!isReading || nowMicros >= nextReadMicros)) {
      isReading = true;
      nextReadMicros = nowMicros + READ_TIMEOUT_MICROS;
      outbox.readLog(stream, nextReadOffset());
    }
  }

  void onReadFailed(long nowMicros) {
    isReading = false;
    nextReadMicros = nowMicros;
  }

  void onRead(LogPage page, long nowMicros) {
    isReading = false;
    switch (phase) {
      case FINDING_END -> {
        end = page.end();
        phase = Phase.LOOKING_BACK;
      }
      case LOOKING_BACK -> scanBackward(page, nowMicros);
      case READING_FORWARD -> readForward(page);
      case LOADED -> {}
    }
    onTick(nowMicros);
  }

  private long nextReadOffset() {
    return switch (phase) {
      case FINDING_END -> Long.MAX_VALUE;
      case LOOKING_BACK -> Math.max(0, end - stride);
      case READING_FORWARD, LOADED -> table.nextOffset();
    };
  }

  private void scanBackward(LogPage page, long nowMicros) {
    if (page.records().isEmpty()) {
      table.startAt(page.end());
      table.onRetention(page.firstRetained(), nowMicros - options.retentionMicros());
      phase = Phase.LOADED;
      return;
    }
    LogRecord first = page.records().get(0);
    boolean isOldEnough = first.appendedAtMicros() < nowMicros - options.claimRetentionMicros();
    boolean isOldest = first.offset() <= page.firstRetained();
    if (isOldEnough || isOldest) {
      table.startAt(first.offset());
      table.onRetention(page.firstRetained(), nowMicros - options.retentionMicros());
      phase = Phase.READING_FORWARD;
      readForward(page);
    } else {
      stride *= 2;
    }
  }

  private void readForward(LogPage page) {
    page.records().forEach(table::fold);
    if (table.nextOffset() >= page.end()) {
      phase = Phase.LOADED;
    }
  }
}
