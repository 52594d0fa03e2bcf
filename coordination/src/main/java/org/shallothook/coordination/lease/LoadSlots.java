package org.shallothook.coordination.lease;

import java.util.Optional;
import java.util.SplittableRandom;
import org.shallothook.coordination.port.AppendKind;
import org.shallothook.coordination.port.Outbox;
import org.shallothook.state.lease.LeaseTable;
import org.shallothook.state.log.LogPage;
import org.shallothook.state.log.LogRecord;

/**
 * One process's share in the few loads of weights that may run at once over the fleet.
 *
 * <p>A process queues by a lease record and may load while its place among the leases in force is
 * below {@link #SLOTS}. It queues only while the queue is short, so that a change for hundreds of
 * servers does not fill the log with renewals.
 *
 * <p>Invariant: {@link #mayLoad} holds only for a lease that was read back, with enough time left
 * to notice its end. Not thread-safe: used on the decision thread.
 */
public final class LoadSlots {
  /** Stream of the log that holds the leases. */
  public static final String STREAM = "leases";

  /** Loads at once over the fleet. */
  public static final int SLOTS = 2;

  /** Leases in force beyond which nobody else queues. */
  private static final int LONGEST_QUEUE = 8;

  private static final long LEASE_MICROS = 12_000_000;

  /** Time left of a lease below which it is renewed, in microseconds. */
  private static final long RENEW_MICROS = 7_000_000;

  /** Time left of a lease below which nothing is started under it, in microseconds. */
  private static final long MARGIN_MICROS = 3_000_000;

  private static final long QUEUED_POLL_MICROS = 300_000;
  private static final long WAITING_POLL_MICROS = 1_500_000;
  private static final long APPEND_INTERVAL_MICROS = 2_000_000;
  private static final long FIRST_STRIDE_RECORDS = 256;

  private final String self;
  private final long incarnation;
  private final Outbox outbox;
  private final SplittableRandom random;
  private final LeaseTable table = new LeaseTable();
  private Optional<String> lease = Optional.empty();
  private boolean isWanted;
  private boolean isLoaded;
  private long knownEnd = -1;
  private long stride = FIRST_STRIDE_RECORDS;
  private long nextReadMicros;
  private long nextAppendMicros;
  private long lastReadMicros = Long.MIN_VALUE / 2;
  private long leases;

  /** Creates a share that wants no slot. */
  public LoadSlots(String self, long incarnation, Outbox outbox) {
    this.self = self;
    this.incarnation = incarnation;
    this.outbox = outbox;
    this.random = new SplittableRandom(self.hashCode() + 31 * incarnation);
  }

  /** Asks for a slot, at once or when the queue is short enough. Does nothing if one is wanted. */
  public void want() {
    isWanted = true;
  }

  /** Gives the slot or the place in the queue back. */
  public void release() {
    isWanted = false;
    lease.ifPresent(id -> append(LeaseTable.endRecord(id)));
    lease = Optional.empty();
  }

  /** Returns whether a load may be started or go on now. */
  public boolean mayLoad(long nowMicros) {
    return lease.isPresent()
        && lastReadMicros >= nowMicros - MARGIN_MICROS
        && table.deadlineOf(lease.get()) - nowMicros >= MARGIN_MICROS
        && table.positionAt(lease.get(), nowMicros).orElse(SLOTS) < SLOTS;
  }

  /** Takes records of the log. Pages of other streams are ignored. */
  public void onLogRead(LogPage page, long nowMicros) {
    if (!page.stream().equals(STREAM)) {
      return;
    }
    if (knownEnd < 0) {
      knownEnd = page.end();
      nextReadMicros = nowMicros;
    } else if (!isLoaded && !isFarEnoughBack(page, nowMicros)) {
      stride *= 2;
      nextReadMicros = nowMicros;
    } else {
      take(page, nowMicros);
    }
    onTick(nowMicros);
  }

  /** Reads, queues or renews, as the time requires. */
  public void onTick(long nowMicros) {
    if (!isWanted) {
      return;
    }
    if (nowMicros >= nextReadMicros) {
      read(nowMicros);
    }
    boolean isFresh = isLoaded && lastReadMicros >= nowMicros - QUEUED_POLL_MICROS;
    if (!isFresh || nowMicros < nextAppendMicros) {
      return;
    }
    if (lease.isEmpty() && table.countAt(nowMicros) < LONGEST_QUEUE) {
      lease = Optional.of(self + '/' + incarnation + '/' + leases++);
    }
    if (lease.isPresent() && table.deadlineOf(lease.get()) - nowMicros < RENEW_MICROS) {
      nextAppendMicros = nowMicros + APPEND_INTERVAL_MICROS;
      append(LeaseTable.leaseRecord(lease.get(), nowMicros + LEASE_MICROS));
    }
  }

  private boolean isFarEnoughBack(LogPage page, long nowMicros) {
    if (page.records().isEmpty()) {
      table.startAt(page.end());
      return true;
    }
    LogRecord first = page.records().get(0);
    boolean isOld = first.appendedAtMicros() < nowMicros - 2 * LeaseTable.LONGEST_MICROS;
    if (isOld || first.offset() <= page.firstRetained()) {
      table.startAt(first.offset());
      return true;
    }
    return false;
  }

  private void take(LogPage page, long nowMicros) {
    page.records().forEach(table::fold);
    if (table.nextOffset() >= page.end()) {
      isLoaded = true;
      lastReadMicros = nowMicros;
    } else {
      nextReadMicros = nowMicros;
    }
  }

  private void read(long nowMicros) {
    long mean = lease.isPresent() ? QUEUED_POLL_MICROS / 2 : WAITING_POLL_MICROS;
    nextReadMicros = nowMicros + mean / 2 + random.nextLong(mean);
    outbox.readLog(STREAM, wantedOffset());
  }

  private long wantedOffset() {
    if (knownEnd < 0) {
      return Long.MAX_VALUE;
    }
    boolean hasStarted = isLoaded || table.nextOffset() > 0;
    return hasStarted ? table.nextOffset() : Math.max(0, knownEnd - stride);
  }

  private void append(String record) {
    outbox.appendLog(AppendKind.LEASES, STREAM, record);
  }
}
