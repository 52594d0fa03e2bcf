package org.shallothook.coordination.booking;

import org.shallothook.coordination.port.Outbox;
import org.shallothook.state.booking.ClaimTable;
import org.shallothook.state.log.LogPage;
import org.shallothook.state.log.LogRecord;

/**
 * Reads as much of a partition's stream as the claims within memory need.
 *
 * <p>It first looks back from the end in growing strides until it meets a record older than the
 * memory or the oldest one kept, and then reads forward. The strides keep a stream with a long
 * retention from being read whole.
 *
 * <p>Invariant: at most one read is open. Not thread-safe.
 */
final class PartitionLoader {
  private static final long FIRST_STRIDE_RECORDS = 64;

  /** Time after which an unanswered read is sent again, in microseconds. */
  private static final long READ_PATIENCE_MICROS = 2_000_000;

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
  private long stride = FIRST_STRIDE_RECORDS;
  private long end;
  private boolean isReading;
  private long readAgainMicros;

  PartitionLoader(String stream, Outbox outbox, ClaimOptions options, ClaimTable table) {
    this.stream = stream;
    this.outbox = outbox;
    this.options = options;
    this.table = table;
  }

  boolean isLoaded() {
    return phase == Phase.LOADED;
  }

  void onTick(long nowMicros) {
    if (!isLoaded() && (!isReading || nowMicros >= readAgainMicros)) {
      isReading = true;
      readAgainMicros = nowMicros + READ_PATIENCE_MICROS;
      outbox.readLog(stream, wantedOffset());
    }
  }

  void onReadFailed(long nowMicros) {
    isReading = false;
    readAgainMicros = nowMicros;
  }

  void onRead(LogPage page, long nowMicros) {
    isReading = false;
    switch (phase) {
      case FINDING_END -> {
        end = page.end();
        phase = Phase.LOOKING_BACK;
      }
      case LOOKING_BACK -> lookBack(page, nowMicros);
      case READING_FORWARD -> readForward(page);
      case LOADED -> {}
    }
    onTick(nowMicros);
  }

  private long wantedOffset() {
    return switch (phase) {
      case FINDING_END -> Long.MAX_VALUE;
      case LOOKING_BACK -> Math.max(0, end - stride);
      case READING_FORWARD, LOADED -> table.nextOffset();
    };
  }

  private void lookBack(LogPage page, long nowMicros) {
    if (page.records().isEmpty()) {
      table.startAt(page.end());
      table.noteRetention(page.firstRetained(), nowMicros - options.retentionMicros());
      phase = Phase.LOADED;
      return;
    }
    LogRecord first = page.records().get(0);
    boolean isOldEnough = first.appendedAtMicros() < nowMicros - options.memoryMicros();
    boolean isOldest = first.offset() <= page.firstRetained();
    if (isOldEnough || isOldest) {
      table.startAt(first.offset());
      table.noteRetention(page.firstRetained(), nowMicros - options.retentionMicros());
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
