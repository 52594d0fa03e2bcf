package org.shallothook.coordination.lease;

import java.util.Optional;
import java.util.SplittableRandom;
import org.shallothook.coordination.port.AppendKind;
import org.shallothook.coordination.port.Outbox;
import org.shallothook.state.lease.LeaseTable;
import org.shallothook.state.log.LogPage;
import org.shallothook.state.log.LogRecord;

/**
 * One process's access to the fleet-wide slots for loading model weights, which limit concurrent
 * loads.
 *
 * <p>A process queues by appending a lease record, and may load while its position among the leases
 * in force is below {@link #MAXIMUM_CONCURRENT_LOADS}. It joins the queue only while the queue is
 * short, so that a change affecting hundreds of servers does not fill the log with lease renewals.
 *
 * <p>Invariant: {@link #mayLoad} returns true only for a lease that was read back from the log and
 * has enough time left for its expiry to be noticed. Not thread-safe: used on the decision thread.
 */
public final class LoadSlots {
  /** Log stream that holds the leases. */
  public static final String STREAM = "leases";

  /** Maximum number of concurrent loads in the fleet. */
  public static final int MAXIMUM_CONCURRENT_LOADS = 2;

  /** Number of leases in force at which no further process joins the queue. */
  private static final int MAXIMUM_QUEUE_LENGTH = 8;

  private static final long LEASE_MICROS = 12_000_000;

  /** Remaining time below which a lease is renewed, in microseconds. */
  private static final long RENEWAL_THRESHOLD_MICROS = 7_000_000;

  /**
   * Remaining time below which a lease no longer permits loading, in microseconds. Also the maximum
   * age of the last complete read of the log.
   */
  private static final long SAFETY_MARGIN_MICROS = 3_000_000;

  private static final long QUEUED_POLL_MICROS = 300_000;
  private static final long WAITING_POLL_MICROS = 1_500_000;
  private static final long APPEND_INTERVAL_MICROS = 2_000_000;
  private static final long INITIAL_LOOK_BACK_RECORDS = 256;

  private final String self;
  private final long incarnation;
  private final Outbox outbox;
  private final SplittableRandom random;
  private final LeaseTable table = new LeaseTable();
  private Optional<String> lease = Optional.empty();
  private boolean isRequested;
  private boolean isCaughtUp;
  private long logEndOffset = -1;
  private long lookBackRecords = INITIAL_LOOK_BACK_RECORDS;
  private long nextReadMicros;
  private long nextAppendMicros;
  private long lastReadMicros = Long.MIN_VALUE / 2;
  private long leasesCreated;

  /** Creates an instance that requests no slot. */
  public LoadSlots(String self, long incarnation, Outbox outbox) {
    this.self = self;
    this.incarnation = incarnation;
    this.outbox = outbox;
    this.random = new SplittableRandom(self.hashCode() + 31 * incarnation);
  }

  /**
   * Requests a slot. The process joins the queue once it is short enough. Has no effect if a slot
   * is already requested.
   */
  public void request() {
    isRequested = true;
  }

  /** Releases the slot or the position in the queue. */
  public void release() {
    isRequested = false;
    lease.ifPresent(id -> append(LeaseTable.endRecord(id)));
    lease = Optional.empty();
  }

  /** Returns whether a load may be started or continued now. */
  public boolean mayLoad(long nowMicros) {
    return lease.isPresent()
        && lastReadMicros >= nowMicros - SAFETY_MARGIN_MICROS
        && table.deadlineOf(lease.get()) - nowMicros >= SAFETY_MARGIN_MICROS
        && table.positionAt(lease.get(), nowMicros).orElse(MAXIMUM_CONCURRENT_LOADS)
            < MAXIMUM_CONCURRENT_LOADS;
  }

  /** Handles a page read from the log. Pages of other streams are ignored. */
  public void onLogRead(LogPage page, long nowMicros) {
    if (!page.stream().equals(STREAM)) {
      return;
    }
    if (logEndOffset < 0) {
      logEndOffset = page.end();
      nextReadMicros = nowMicros;
    } else if (!isCaughtUp && !startTableAt(page, nowMicros)) {
      lookBackRecords *= 2;
      nextReadMicros = nowMicros;
    } else {
      applyPage(page, nowMicros);
    }
    onTick(nowMicros);
  }

  /** Reads the log, and joins the queue or renews the lease, when each is due. */
  public void onTick(long nowMicros) {
    if (!isRequested) {
      return;
    }
    if (nowMicros >= nextReadMicros) {
      read(nowMicros);
    }
    boolean isFresh = isCaughtUp && lastReadMicros >= nowMicros - QUEUED_POLL_MICROS;
    if (!isFresh || nowMicros < nextAppendMicros) {
      return;
    }
    if (lease.isEmpty() && table.activeCountAt(nowMicros) < MAXIMUM_QUEUE_LENGTH) {
      lease = Optional.of(self + '/' + incarnation + '/' + leasesCreated++);
    }
    if (lease.isPresent() && table.deadlineOf(lease.get()) - nowMicros < RENEWAL_THRESHOLD_MICROS) {
      nextAppendMicros = nowMicros + APPEND_INTERVAL_MICROS;
      append(LeaseTable.leaseRecord(lease.get(), nowMicros + LEASE_MICROS));
    }
  }

  /**
   * Starts the lease table at the first record of the page, if the page reaches back far enough to
   * include every lease that can still be in force.
   *
   * @return whether the table was started
   */
  private boolean startTableAt(LogPage page, long nowMicros) {
    if (page.records().isEmpty()) {
      table.startAt(page.end());
      return true;
    }
    LogRecord first = page.records().get(0);
    boolean isPastLongestLease =
        first.appendedAtMicros() < nowMicros - 2 * LeaseTable.MAXIMUM_DURATION_MICROS;
    if (isPastLongestLease || first.offset() <= page.firstRetained()) {
      table.startAt(first.offset());
      return true;
    }
    return false;
  }

  private void applyPage(LogPage page, long nowMicros) {
    page.records().forEach(table::fold);
    if (table.nextOffset() >= page.end()) {
      isCaughtUp = true;
      lastReadMicros = nowMicros;
    } else {
      nextReadMicros = nowMicros;
    }
  }

  private void read(long nowMicros) {
    long meanInterval = lease.isPresent() ? QUEUED_POLL_MICROS / 2 : WAITING_POLL_MICROS;
    nextReadMicros = nowMicros + meanInterval / 2 + random.nextLong(meanInterval);
    outbox.readLog(STREAM, nextReadOffset());
  }

  private long nextReadOffset() {
    if (logEndOffset < 0) {
      return Long.MAX_VALUE;
    }
    boolean hasStarted = isCaughtUp || table.nextOffset() > 0;
    return hasStarted ? table.nextOffset() : Math.max(0, logEndOffset - lookBackRecords);
  }

  private void append(String record) {
    outbox.appendLog(AppendKind.LEASES, STREAM, record);
  }
}
