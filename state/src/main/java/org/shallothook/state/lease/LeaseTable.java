package org.shallothook.state.lease;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalInt;
import org.shallothook.state.log.LogRecord;

/**
 * Leases in the order in which the log appended them.
 *
 * <p>The record {@code lease ID DEADLINE} requests or renews a lease, and {@code end ID} ends it. A
 * renewal keeps the position in the queue, but an expired lease that is renewed goes to its end.
 *
 * <p>Invariants: a late record does not revive an ended lease, whose identifier is remembered for
 * twice {@link #MAXIMUM_DURATION_MICROS}; no deadline is more than {@link #MAXIMUM_DURATION_MICROS}
 * after the time of its record. Not thread-safe.
 */
public final class LeaseTable {
  /** Longest time from a record to the deadline that it sets, in microseconds. */
  public static final long MAXIMUM_DURATION_MICROS = 30_000_000;

  private final Map<String, Lease> leases = new LinkedHashMap<>();
  private final Map<String, Long> ended = new LinkedHashMap<>();
  private long nextOffset;
  private long malformedRecords;

  /** Returns the text of a record that requests or renews a lease. */
  public static String leaseRecord(String id, long deadlineMicros) {
    return "lease " + id + " " + deadlineMicros;
  }

  /** Returns the text of a record that ends a lease. */
  public static String endRecord(String id) {
    return "end " + id;
  }

  /** Returns the offset of the next record to fold. */
  public long nextOffset() {
    return nextOffset;
  }

  /**
   * Sets the offset of the first record to fold. The leases of all earlier records must have
   * expired.
   */
  public void startAt(long offset) {
    nextOffset = offset;
  }

  /** Returns the number of malformed records that were skipped. */
  public long malformedRecords() {
    return malformedRecords;
  }

  /** Applies a record. Records below {@link #nextOffset} are ignored. */
  public void fold(LogRecord record) {
    if (record.offset() < nextOffset) {
      return;
    }
    nextOffset = record.offset() + 1;
    String[] fields = record.payload().split(" ", -1);
    try {
      apply(fields, record.appendedAtMicros());
    } catch (RuntimeException e) {
      malformedRecords++;
    }
  }

  /** Returns the number of unexpired leases at a time, in microseconds since the epoch. */
  public int activeCountAt(long micros) {
    return (int) leases.values().stream().filter(l -> l.deadlineMicros() > micros).count();
  }

  /**
   * Returns the position of a lease among the unexpired ones, from 0; empty if it is not one of
   * them.
   *
   * @param id identifier of the lease
   * @param micros time at which the leases are compared, in microseconds since the epoch
   */
  public OptionalInt positionAt(String id, long micros) {
    int position = 0;
    for (Lease lease : leases.values()) {
      boolean isActive = lease.deadlineMicros() > micros;
      if (lease.id().equals(id)) {
        return isActive ? OptionalInt.of(position) : OptionalInt.empty();
      }
      position += isActive ? 1 : 0;
    }
    return OptionalInt.empty();
  }

  /**
   * Returns the deadline of a lease, in microseconds since the epoch; 0 if there is no such lease.
   */
  public long deadlineOf(String id) {
    Lease lease = leases.get(id);
    return lease == null ? 0 : lease.deadlineMicros();
  }

  private void apply(String[] fields, long recordMicros) {
    leases.values().removeIf(lease -> lease.deadlineMicros() <= recordMicros);
    ended
        .values()
        .removeIf(endedMicros -> endedMicros <= recordMicros - 2 * MAXIMUM_DURATION_MICROS);
    String id = fields[1];
    if (fields[0].equals("end")) {
      leases.remove(id);
      ended.put(id, recordMicros);
      return;
    }
    if (!fields[0].equals("lease")) {
      throw new IllegalArgumentException("Unknown record type '" + fields[0] + "'.");
    }
    long deadlineMicros = Long.parseLong(fields[2]);
    boolean isDeadlineValid =
        deadlineMicros > recordMicros && deadlineMicros <= recordMicros + MAXIMUM_DURATION_MICROS;
    if (isDeadlineValid && !ended.containsKey(id)) {
      leases.merge(id, new Lease(id, deadlineMicros), LeaseTable::withLaterDeadline);
    }
  }

  private static Lease withLaterDeadline(Lease known, Lease renewed) {
    return known.deadlineMicros() >= renewed.deadlineMicros() ? known : renewed;
  }
}
