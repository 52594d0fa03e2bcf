package org.shallothook.state.booking;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.shallothook.state.log.LogRecord;

/**
 * Claims of one partition, built by folding the records of its stream.
 *
 * <p>The first claim of a scope by offset holds it; later claims have no effect unless that one was
 * released. Malformed lines are skipped and counted.
 *
 * <p>Invariants: {@link #nextOffset} decreases only by {@link #startAt}; the content depends only
 * on the folded records and on the entries that were removed because of their age. Not thread-safe.
 */
public final class ClaimTable {
  private final Map<String, ClaimEntry> entries = new LinkedHashMap<>();
  private long nextOffset;
  private long startOffset;
  private long coveredSinceMicros = Long.MAX_VALUE;
  private long malformedLines;

  /** Clears the table and sets the offset of the first record to fold. */
  public void startAt(long offset) {
    entries.clear();
    startOffset = offset;
    nextOffset = offset;
    coveredSinceMicros = offset == 0 ? 0 : Long.MAX_VALUE;
  }

  /**
   * Records that the log has dropped only records older than a time.
   *
   * @param firstRetained lowest offset that the log still retains
   * @param micros the time, in microseconds since the epoch
   */
  public void onRetention(long firstRetained, long micros) {
    if (startOffset <= firstRetained) {
      coveredSinceMicros = Math.min(coveredSinceMicros, micros);
    }
  }

  /** Returns the offset of the next record to fold. */
  public long nextOffset() {
    return nextOffset;
  }

  /**
   * Returns the time since which every claim is in the table, in microseconds since the epoch;
   * {@link Long#MAX_VALUE} if it is unknown.
   */
  public long coveredSinceMicros() {
    return coveredSinceMicros;
  }

  /** Returns the number of malformed lines that were skipped. */
  public long malformedLines() {
    return malformedLines;
  }

  /** Returns the number of scopes. */
  public int size() {
    return entries.size();
  }

  /** Returns the state of a scope, if it is known. */
  public Optional<ClaimEntry> entry(String scope) {
    return Optional.ofNullable(entries.get(scope));
  }

  /** Returns all entries. */
  public List<ClaimEntry> entries() {
    return List.copyOf(entries.values());
  }

  /** Applies a record. Records below {@link #nextOffset} are ignored. */
  public void fold(LogRecord record) {
    if (record.offset() < nextOffset) {
      return;
    }
    if (record.offset() > nextOffset) {
      startOffset = record.offset();
      coveredSinceMicros = Long.MAX_VALUE;
    }
    if (record.offset() == startOffset) {
      coveredSinceMicros = Math.min(coveredSinceMicros, record.appendedAtMicros());
    }
    nextOffset = record.offset() + 1;
    ClaimLineText.ParsedRecord parsed = ClaimLineText.read(record.payload());
    malformedLines += parsed.malformedLines();
    parsed.lines().forEach(line -> fold(line, record));
  }

  /** Removes the scopes whose first claim is older than a time, in microseconds since the epoch. */
  public void removeOlderThan(long micros) {
    entries.values().removeIf(entry -> entry.claimedAtMicros() < micros);
  }

  private void fold(ClaimLine line, LogRecord record) {
    if (line instanceof ClaimLine.Claim claim) {
      foldClaim(claim, record);
    } else if (line instanceof ClaimLine.Finished finished) {
      foldFinished(finished);
    } else if (line instanceof ClaimLine.Released released) {
      foldReleased(released, record);
    } else if (line instanceof ClaimLine.Carried carried) {
      foldCarried(carried.entry());
    } else if (line instanceof ClaimLine.Covered covered && covered.fromOffset() >= startOffset) {
      coveredSinceMicros = Math.min(coveredSinceMicros, covered.sinceMicros());
    }
  }

  private void foldClaim(ClaimLine.Claim claim, LogRecord record) {
    ClaimEntry known = entries.get(claim.scope());
    boolean isFree =
        known == null
            || (!known.isHeld()
                && (known.digest().isEmpty() || known.digest().equals(claim.digest()))
                && !known.released().contains(claim.claim()));
    if (!isFree) {
      return;
    }
    entries.put(
        claim.scope(),
        new ClaimEntry(
            claim.scope(),
            claim.digest(),
            claim.claim(),
            record.offset(),
            known == null ? record.appendedAtMicros() : known.claimedAtMicros(),
            true,
            known == null ? Set.of() : known.released(),
            Optional.empty()));
  }

  private void foldFinished(ClaimLine.Finished finished) {
    ClaimEntry known = entries.get(finished.scope());
    if (isUnfinished(known, finished.claim())) {
      entries.put(known.scope(), with(known, true, known.released(), finished.outcome()));
    }
  }

  /** Releases a claim for good: it never holds the scope, even if its own line comes later. */
  private void foldReleased(ClaimLine.Released line, LogRecord record) {
    ClaimEntry known = entries.get(line.scope());
    if (known == null) {
      entries.put(
          line.scope(),
          new ClaimEntry(
              line.scope(),
              "",
              line.claim(),
              record.offset(),
              record.appendedAtMicros(),
              false,
              Set.of(line.claim()),
              Optional.empty()));
    } else if (known.outcome().isEmpty()) {
      Set<String> released = new HashSet<>(known.released());
      released.add(line.claim());
      boolean isHeld = known.isHeld() && !known.claim().equals(line.claim());
      entries.put(known.scope(), with(known, isHeld, released, null));
    }
  }

  /** Restores a carried entry, unless the table has an entry that is at least as old. */
  private void foldCarried(ClaimEntry carried) {
    ClaimEntry known = entries.get(carried.scope());
    boolean isOlder = known != null && carried.claimedAtMicros() < known.claimedAtMicros();
    if (known == null || isOlder) {
      entries.put(carried.scope(), carried);
    }
  }

  private static boolean isUnfinished(ClaimEntry entry, String claim) {
    return entry != null
        && entry.isHeld()
        && entry.outcome().isEmpty()
        && entry.claim().equals(claim);
  }

  private static ClaimEntry with(
      ClaimEntry entry, boolean isHeld, Set<String> released, ServiceOutcome outcome) {
    return new ClaimEntry(
        entry.scope(),
        entry.digest(),
        entry.claim(),
        entry.offset(),
        entry.claimedAtMicros(),
        isHeld,
        released,
        Optional.ofNullable(outcome));
  }
}
