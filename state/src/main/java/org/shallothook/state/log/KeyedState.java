package org.shallothook.state.log;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The newest record of each key of a stream, folded from reads that may overlap or repeat.
 *
 * <pre>{@code
 * List<KeyedRecord> changes = state.apply(records);
 * List<KeyedRecord> removed = state.retain(keysOfTheSnapshot, snapshotBegan);
 * }</pre>
 *
 * <p>Invariant: the offset of a key and {@link #nextOffset} never decrease. Not thread-safe.
 */
public final class KeyedState {
  private final Map<String, KeyedRecord> newest = new HashMap<>();
  private long nextOffset;

  /** Returns the offset up to which the stream is known. */
  public long nextOffset() {
    return nextOffset;
  }

  /** Returns the value of a key. */
  public Optional<String> value(String key) {
    return Optional.ofNullable(newest.get(key)).flatMap(KeyedRecord::value);
  }

  /** Returns the newest record of each key at or above an offset, in the order of the stream. */
  public List<KeyedRecord> since(long offset) {
    return newest.values().stream()
        .filter(record -> record.offset() >= offset)
        .sorted(Comparator.comparingLong(KeyedRecord::offset))
        .toList();
  }

  /** Takes in records and returns those that change what is known, in their order. */
  public List<KeyedRecord> apply(Collection<KeyedRecord> records) {
    List<KeyedRecord> changes = new ArrayList<>();
    for (KeyedRecord record : records) {
      KeyedRecord known = newest.get(record.key());
      if (known == null || known.offset() < record.offset()) {
        newest.put(record.key(), record);
        changes.add(record);
      }
      nextOffset = Math.max(nextOffset, record.offset() + 1);
    }
    return changes;
  }

  /** Takes in that everything below an offset is known. */
  public void advanceTo(long offset) {
    nextOffset = Math.max(nextOffset, offset);
  }

  /**
   * Drops the keys that a reading of all newest records did not have.
   *
   * @param present keys that were read
   * @param beganAtOffset end of the stream when the reading began; newer keys are kept
   * @return removals, each as a record without a value
   */
  public List<KeyedRecord> retain(Set<String> present, long beganAtOffset) {
    List<KeyedRecord> removed = new ArrayList<>();
    for (KeyedRecord record : List.copyOf(newest.values())) {
      boolean isOlder = record.offset() < beganAtOffset;
      if (isOlder && record.value().isPresent() && !present.contains(record.key())) {
        KeyedRecord removal = new KeyedRecord(record.offset(), record.key(), Optional.empty());
        newest.put(record.key(), removal);
        removed.add(removal);
      }
    }
    return removed;
  }
}
