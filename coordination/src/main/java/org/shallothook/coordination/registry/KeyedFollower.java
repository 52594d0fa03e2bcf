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

/**
 * Follows one stream: first the newest record of each key, then all that is appended.
 *
 * <p>Pattern answered: the store loses answers, is slow or away, and forgets its history. A read
 * that fails is tried again with a growing delay; forgotten history is made up for by a new reading
 * of the newest records, after which keys that were missing in it are dropped.
 *
 * <p>Invariant: one read is open at a time, and no key goes back to an older record. Not
 * thread-safe.
 */
public final class KeyedFollower {
  /** Greatest delay before the first retry of a read; doubled for each further one. */
  private static final long FIRST_RETRY_MICROS = 100_000;

  private static final int MOST_DOUBLINGS = 3;

  private final RegistryStream stream;
  private final FollowPolicy policy;
  private final SplittableRandom random;
  private final KeyedState state = new KeyedState();
  private final Set<String> pageKeys = new HashSet<>();
  private boolean isWhole;
  private boolean isReadingNewest = true;
  private boolean isReading;
  private String afterKey = "";
  private long beganAtOffset;
  private long readFromOffset;
  private long nextAtMicros;
  private int failuresInRow;

  /** Creates a follower that has read nothing. */
  KeyedFollower(RegistryStream stream, FollowPolicy policy, SplittableRandom random) {
    this.stream = stream;
    this.policy = policy;
    this.random = random;
  }

  /** Returns the records known. */
  KeyedState state() {
    return state;
  }

  /** Returns whether every key has been read at least once. */
  boolean isWhole() {
    return isWhole;
  }

  /** Returns whether the latest reads have failed. */
  boolean isFailing() {
    return failuresInRow > 0;
  }

  /** Returns the read that is due, which is then open. */
  Optional<RegistryCommand> next(long nowMicros) {
    if (isReading || nowMicros < nextAtMicros) {
      return Optional.empty();
    }
    isReading = true;
    long wait = isFailing() ? 0 : policy.longestWaitMicros();
    return Optional.of(
        isReadingNewest
            ? new RegistryCommand.ReadNewest(stream, afterKey)
            : new RegistryCommand.Read(stream, readFromOffset, wait));
  }

  /** Makes the next read due at once. */
  void hurry(long nowMicros) {
    nextAtMicros = Math.min(nextAtMicros, nowMicros);
  }

  /** Takes in a page of newest records and returns what it changes. */
  List<KeyedRecord> onPage(Either<ReadFailure, NewestPage> answer, long nowMicros) {
    isReading = false;
    if (answer.isLeft()) {
      onFailed(nowMicros);
      return List.of();
    }
    succeeded(nowMicros);
    NewestPage page = answer.get();
    if (afterKey.isEmpty()) {
      pageKeys.clear();
      beganAtOffset = page.endOffset();
    }
    List<KeyedRecord> changes = new ArrayList<>(state.apply(page.items()));
    page.items().forEach(item -> pageKeys.add(item.key()));
    if (page.hasMore() && !page.items().isEmpty()) {
      afterKey = page.items().get(page.items().size() - 1).key();
      return changes;
    }
    changes.addAll(state.retain(pageKeys, beganAtOffset));
    state.advanceTo(beganAtOffset);
    readFromOffset = beganAtOffset;
    afterKey = "";
    isReadingNewest = false;
    isWhole = true;
    return changes;
  }

  /** Takes in records and returns what they change. */
  List<KeyedRecord> onRead(Either<ReadFailure, RecordsRead> answer, long nowMicros) {
    isReading = false;
    if (answer.isLeft()) {
      isReadingNewest = answer.getLeft().isHistoryForgotten();
      if (isReadingNewest) {
        succeeded(nowMicros);
      } else {
        onFailed(nowMicros);
      }
      return List.of();
    }
    succeeded(nowMicros);
    RecordsRead read = answer.get();
    readFromOffset = Math.max(readFromOffset, read.nextOffset());
    boolean isAtEnd = read.nextOffset() >= read.endOffset();
    nextAtMicros = isAtEnd ? nowMicros + policy.intervalMicros() : nowMicros;
    List<KeyedRecord> changes = state.apply(read.records());
    state.advanceTo(read.nextOffset());
    return changes;
  }

  private void succeeded(long nowMicros) {
    failuresInRow = 0;
    nextAtMicros = nowMicros;
  }

  private void onFailed(long nowMicros) {
    long longest = FIRST_RETRY_MICROS << Math.min(MOST_DOUBLINGS, failuresInRow);
    failuresInRow++;
    nextAtMicros = nowMicros + longest / 2 + random.nextLong(longest / 2);
  }
}
