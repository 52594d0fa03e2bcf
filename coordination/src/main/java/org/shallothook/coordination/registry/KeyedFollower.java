package org.shallothook.coordination.registry;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.shallothook.state.log.KeyedRecord;
import org.shallothook.state.log.KeyedState;
import org.shallothook.state.log.RecordVersions;

/**
 * Follows one stream: scans the newest record of each key, then reads appended records.
 *
 * <p>Handles a store that loses responses, is slow or unavailable, and expires old records: a
 * failed read is retried with a growing delay. If the next records have expired, the newest record
 * of each key is scanned again, after which keys that the scan did not return are removed. The same
 * happens if the store was restored from a copy: offsets of before mean nothing any more, nor does
 * a read that was issued with one.
 *
 * <p>Invariant: the results of at most one read are applied at a time, and no key goes back to an
 * older record. Not thread-safe.
 */
public final class KeyedFollower {
  /**
   * Time within which an answer of an undisturbed store arrives, in microseconds. A read that was
   * issued longer ago was held by the store until a record was written.
   */
  private static final long DELIVERY_MICROS = 500_000;

  /** Maximum delay before the first retry of a read; doubled for each further one. */
  private static final long INITIAL_RETRY_DELAY_MICROS = 100_000;

  private static final int MAXIMUM_DOUBLINGS = 3;

  private final RegistryStream stream;
  private final PollingPolicy policy;
  private final SplittableRandom random;
  private final KeyedState state;
  private final Set<String> scannedKeys = new HashSet<>();
  private boolean isComplete;
  private boolean isScanning = true;
  private Optional<RegistryCommand> outstanding = Optional.empty();
  private String afterKey = "";
  private long scanStartOffset;
  private long readFromOffset;
  private long nextReadMicros;
  private int consecutiveFailures;
  private long issuedMicros;
  private long scanIssuedMicros;
  private Optional<Long> completeUntilMicros = Optional.empty();
  private long latestFailureMicros = Long.MIN_VALUE / 2;

  /** Creates a follower that has read nothing. */
  KeyedFollower(
      RegistryStream stream,
      PollingPolicy policy,
      RecordVersions versions,
      SplittableRandom random) {
    this.state = new KeyedState(versions);
    this.stream = stream;
    this.policy = policy;
    this.random = random;
  }

  /** Returns the newest known record of each key. */
  KeyedState state() {
    return state;
  }

  /** Returns whether the latest scan found a key in the store. */
  boolean isScanned(String key) {
    return scannedKeys.contains(key);
  }

  /** Returns whether a scan of all keys has completed. */
  boolean isComplete() {
    return isComplete;
  }

  /** Returns whether a scan of all keys has begun or is due. */
  boolean isScanning() {
    return isScanning;
  }

  /** Returns when a read has failed last. */
  long latestFailureMicros() {
    return latestFailureMicros;
  }

  /** Returns whether the last read has failed. */
  boolean isFailing() {
    return consecutiveFailures > 0;
  }

  /**
   * Returns a time such that every record written before it is known; empty before the first scan
   * has completed.
   */
  Optional<Long> completeUntilMicros() {
    return completeUntilMicros;
  }

  /**
   * Returns the time after which the records that the outstanding read returns were written; empty
   * if they may be of any age. Must be called before the answer is applied.
   *
   * @param arrivalMicros earliest time at which the answer may have arrived
   */
  Optional<Long> writtenAfterMicros(long arrivalMicros) {
    return completeUntilMicros.map(
        completeMicros ->
            wasHeld(completeMicros, arrivalMicros)
                ? Math.max(
                    completeMicros,
                    Math.min(
                        arrivalMicros - DELIVERY_MICROS, issuedMicros + outstandingWaitMicros()))
                : completeMicros);
  }

  /**
   * Returns whether the store held the outstanding read until a record was written, as it answers a
   * read at once if one exists: the read continues the previous one and is answered late.
   */
  private boolean wasHeld(long completeMicros, long arrivalMicros) {
    return !isScanning
        && completeMicros >= issuedMicros - DELIVERY_MICROS
        && arrivalMicros - DELIVERY_MICROS > issuedMicros;
  }

  /**
   * Returns the offset below which every record is known and at or above which none is; empty while
   * all keys are scanned.
   */
  Optional<Long> endOffset() {
    return isScanning ? Optional.empty() : Optional.of(readFromOffset);
  }

  /** Returns the read that is due, if any, and marks it as outstanding. */
  Optional<RegistryCommand> nextRead(long nowMicros) {
    if (outstanding.isPresent() || nowMicros < nextReadMicros) {
      return Optional.empty();
    }
    long wait = isFailing() ? 0 : policy.maximumWaitMicros();
    issuedMicros = nowMicros;
    if (isScanning && afterKey.isEmpty()) {
      scanIssuedMicros = nowMicros;
    }
    outstanding =
        Optional.of(
            isScanning
                ? new RegistryCommand.ReadNewest(stream, afterKey)
                : new RegistryCommand.Read(stream, readFromOffset, wait));
    return outstanding;
  }

  /**
   * Begins an era of the store. If an earlier one was known, the store was restored: all keys are
   * scanned again, and the outstanding read is forgotten.
   */
  void onEra(long era, long nowMicros) {
    boolean isRestored = state.era() != 0;
    state.beginEra(era);
    if (isRestored) {
      outstanding = Optional.empty();
      isScanning = true;
      afterKey = "";
      readFromOffset = 0;
      nextReadMicros = nowMicros;
    }
  }

  /** Returns whether a page is the result of the outstanding read. */
  boolean isExpectedPage(String pageAfterKey) {
    return outstanding
        .filter(
            command ->
                command instanceof RegistryCommand.ReadNewest newest
                    && newest.afterKey().equals(pageAfterKey))
        .isPresent();
  }

  /** Returns whether records from an offset on are the result of the outstanding read. */
  boolean isExpectedRead(long fromOffset) {
    return outstanding
        .filter(
            command ->
                command instanceof RegistryCommand.Read read && read.fromOffset() == fromOffset)
        .isPresent();
  }

  /** Makes the next read due immediately. */
  void readSoon(long nowMicros) {
    nextReadMicros = Math.min(nextReadMicros, nowMicros);
  }

  /** Applies a page of newest records and returns the records that changed the state. */
  List<KeyedRecord> onPage(Either<ReadFailure, NewestPage> result, long nowMicros) {
    outstanding = Optional.empty();
    if (result.isLeft()) {
      onFailed(nowMicros);
      return List.of();
    }
    onSucceeded(nowMicros);
    NewestPage page = result.get();
    if (afterKey.isEmpty()) {
      scannedKeys.clear();
      scanStartOffset = page.endOffset();
    }
    List<KeyedRecord> changes = new ArrayList<>(state.applyScanned(page.items()));
    page.items().forEach(item -> scannedKeys.add(item.key()));
    if (page.hasMore() && !page.items().isEmpty()) {
      afterKey = page.items().get(page.items().size() - 1).key();
      return changes;
    }
    changes.addAll(state.retain(scannedKeys, scanStartOffset, stream.keepsKeysMissingInCopy()));
    state.advanceTo(scanStartOffset);
    readFromOffset = scanStartOffset;
    afterKey = "";
    isScanning = false;
    isComplete = true;
    onCompleteUntil(scanIssuedMicros);
    return changes;
  }

  /** Applies appended records and returns those that changed the state. */
  List<KeyedRecord> onRead(Either<ReadFailure, RecordsRead> result, long nowMicros) {
    long waitMicros = outstandingWaitMicros();
    outstanding = Optional.empty();
    if (result.isLeft()) {
      isScanning = result.getLeft().isExpired();
      if (isScanning) {
        onSucceeded(nowMicros);
      } else {
        onFailed(nowMicros);
      }
      return List.of();
    }
    onSucceeded(nowMicros);
    RecordsRead read = result.get();
    readFromOffset = Math.max(readFromOffset, read.nextOffset());
    boolean isAtEnd = read.nextOffset() >= read.endOffset();
    nextReadMicros = isAtEnd ? nowMicros + policy.intervalMicros() : nowMicros;
    if (isAtEnd) {
      boolean wasHeld = read.records().isEmpty() && nowMicros - issuedMicros >= waitMicros;
      onCompleteUntil(wasHeld ? issuedMicros + waitMicros : issuedMicros);
    }
    List<KeyedRecord> changes = state.apply(read.records());
    state.advanceTo(read.nextOffset());
    return changes;
  }

  private long outstandingWaitMicros() {
    return outstanding
        .map(
            command -> command instanceof RegistryCommand.Read read ? read.maximumWaitMicros() : 0L)
        .orElse(0L);
  }

  private void onCompleteUntil(long micros) {
    completeUntilMicros =
        Optional.of(completeUntilMicros.map(known -> Math.max(known, micros)).orElse(micros));
  }

  private void onSucceeded(long nowMicros) {
    consecutiveFailures = 0;
    nextReadMicros = nowMicros;
  }

  private void onFailed(long nowMicros) {
    long maximumDelay =
        INITIAL_RETRY_DELAY_MICROS << Math.min(MAXIMUM_DOUBLINGS, consecutiveFailures);
    consecutiveFailures++;
    latestFailureMicros = nowMicros;
    nextReadMicros = nowMicros + maximumDelay / 2 + random.nextLong(maximumDelay / 2);
  }
}
