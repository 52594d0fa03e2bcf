package org.shallothook.state.lease;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalInt;
import org.shallothook.state.log.LogRecord;

/**
 * Leases in the order in which the log took them.
 *
 * <p>A record asks for a lease or renews it, {@code lease ID DEADLINE}, or ends it, {@code end ID}.
 * A renewal keeps the place, but an expired lease that is renewed goes to the end of the queue.
 *
 * <p>Invariant: a lease that ended never comes back, and no deadline is further than {@link
 * #LONGEST_MICROS} from the time of its record. Not thread-safe.
 */
public final class LeaseTable {
  /** Longest time from a record to the deadline that it sets, in microseconds. */
  public static final long LONGEST_MICROS = 30_000_000;

  private final Map<String, Lease> leases = new LinkedHashMap<>();
  private final Map<String, Long> ended = new LinkedHashMap<>();
  private long nextOffset;
  private long faultyRecords;

  /** Returns the text of a record that asks for a lease or renews it. */
  public static String leaseRecord(String id, long deadlineMicros) {
    return "lease " + id + " " + deadlineMicros;
  }

  /** Returns the text of a record that ends a lease. */
  public static String endRecord(String id) {
    return "end " + id;
  }

  /** Returns the offset of the record to fold next. */
  public long nextOffset() {
    return nextOffset;
  }

  /** Starts with the record at an offset; leases of earlier records must have expired. */
  public void startAt(long offset) {
    nextOffset = offset;
  }

  /** Returns how many records could not be read. */
  public long faultyRecords() {
    return faultyRecords;
  }

  /** Folds a record. Records below {@link #nextOffset} are ignored. */
  public void fold(LogRecord record) {
    if (record.offset() < nextOffset) {
      return;
    }
    nextOffset = record.offset() + 1;
    String[] fields = record.payload().split(" ", -1);
    try {
      apply(fields, record.appendedAtMicros());
    } catch (RuntimeException e) {
      faultyRecords++;
    }
  }

  /** Returns how many leases are in force at a time. */
  public int countAt(long micros) {
    return (int) leases.values().stream().filter(l -> l.deadlineMicros() > micros).count();
  }

  /** Returns the place of a lease among those in force at a time, from 0; empty if it is not. */
  public OptionalInt positionAt(String id, long micros) {
    int position = 0;
    for (Lease lease : leases.values()) {
      boolean isInForce = lease.deadlineMicros() > micros;
      if (lease.id().equals(id)) {
        return isInForce ? OptionalInt.of(position) : OptionalInt.empty();
      }
      position += isInForce ? 1 : 0;
    }
    return OptionalInt.empty();
  }

  /** Returns the deadline of a lease; 0 if there is none. */
  public long deadlineOf(String id) {
    Lease lease = leases.get(id);
    return lease == null ? 0 : lease.deadlineMicros();
  }

  private void apply(String[] fields, long recordMicros) {
    leases.values().removeIf(lease -> lease.deadlineMicros() <= recordMicros);
    ended.values().removeIf(endedMicros -> endedMicros <= recordMicros - 2 * LONGEST_MICROS);
    String id = fields[1];
    if (fields[0].equals("end")) {
      leases.remove(id);
      ended.put(id, recordMicros);
      return;
    }
    if (!fields[0].equals("lease")) {
      throw new IllegalArgumentException("There is no record '" + fields[0] + "'.");
    }
    long deadlineMicros = Long.parseLong(fields[2]);
    boolean isSound =
        deadlineMicros > recordMicros && deadlineMicros <= recordMicros + LONGEST_MICROS;
    if (isSound && !ended.containsKey(id)) {
      leases.merge(id, new Lease(id, deadlineMicros), LeaseTable::later);
    }
  }

  private static Lease later(Lease known, Lease renewed) {
    return known.deadlineMicros() >= renewed.deadlineMicros() ? known : renewed;
  }
}
