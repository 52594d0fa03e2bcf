package org.shallothook.state.booking;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.shallothook.state.log.LogRecord;

/**
 * Claims of one partition, folded from its stream.
 *
 * <p>The first claim of a scope by offset counts; later ones change nothing unless it was given
 * back. Faulty lines are skipped and counted.
 *
 * <p>Invariant: {@link #nextOffset} never falls, and the content is a function of the records
 * folded and of what was forgotten for its age. Not thread-safe.
 */
public final class ClaimTable {
  private final Map<String, ClaimEntry> entries = new LinkedHashMap<>();
  private long nextOffset;
  private long startOffset;
  private long coveredSinceMicros = Long.MAX_VALUE;
  private long faultyLines;

  /** Starts anew with the record at an offset, from which on the partition will be read. */
  public void startAt(long offset) {
    entries.clear();
    startOffset = offset;
    nextOffset = offset;
    coveredSinceMicros = offset == 0 ? 0 : Long.MAX_VALUE;
  }

  /**
   * Notes that the log has dropped only records older than a time.
   *
   * @param firstRetained lowest offset that the log still keeps
   * @param micros the time, in microseconds since the epoch
   */
  public void noteRetention(long firstRetained, long micros) {
    if (startOffset <= firstRetained) {
      coveredSinceMicros = Math.min(coveredSinceMicros, micros);
    }
  }

  /** Returns the offset of the record to fold next. */
  public long nextOffset() {
    return nextOffset;
  }

  /** Returns the time since which every claim made is in the table. */
  public long coveredSinceMicros() {
    return coveredSinceMicros;
  }

  /** Returns how many lines could not be read. */
  public long faultyLines() {
    return faultyLines;
  }

  /** Returns the number of scopes. */
  public int size() {
    return entries.size();
  }

  /** Returns what is known of a scope. */
  public Optional<ClaimEntry> entry(String scope) {
    return Optional.ofNullable(entries.get(scope));
  }

  /** Returns all entries. */
  public List<ClaimEntry> entries() {
    return List.copyOf(entries.values());
  }

  /** Folds a record. Records below {@link #nextOffset} are ignored. */
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
    faultyLines += parsed.faultyLines();
    parsed.lines().forEach(line -> fold(line, record));
  }

  /** Forgets scopes whose first claim is older than a time. */
  public void forgetBefore(long micros) {
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
    if (isOpen(known, finished.claim())) {
      entries.put(known.scope(), with(known, true, known.released(), finished.outcome()));
    }
  }

  /** A claim given back never counts, not even where its line comes later than this one. */
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

  /** An entry carried over is older than any claim read here, unless it was read itself. */
  private void foldCarried(ClaimEntry carried) {
    ClaimEntry known = entries.get(carried.scope());
    boolean isOlder = known != null && carried.claimedAtMicros() < known.claimedAtMicros();
    if (known == null || isOlder) {
      entries.put(carried.scope(), carried);
    }
  }

  private static boolean isOpen(ClaimEntry entry, String claim) {
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
