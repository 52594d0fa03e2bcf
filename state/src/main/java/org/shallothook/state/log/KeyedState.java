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
 * The newest record of each key of a stream, built from reads that may overlap or repeat.
 *
 * <pre>{@code
 * List<KeyedRecord> changes = state.apply(records);
 * List<KeyedRecord> removed = state.retain(keysInSnapshot, snapshotStartOffset);
 * }</pre>
 *
 * <p>Invariant: the offset of a key and {@link #nextOffset} never decrease. Not thread-safe.
 */
public final class KeyedState {
  private final Map<String, KeyedRecord> newest = new HashMap<>();
  private long nextOffset;

  /** Returns the offset below which every record of the stream is reflected in this state. */
  public long nextOffset() {
    return nextOffset;
  }

  /** Returns the value of a key; empty if the key is unknown or was removed. */
  public Optional<String> value(String key) {
    return Optional.ofNullable(newest.get(key)).flatMap(KeyedRecord::value);
  }

  /** Returns the newest record of each key at or above an offset, in order of offset. */
  public List<KeyedRecord> since(long offset) {
    return newest.values().stream()
        .filter(record -> record.offset() >= offset)
        .sorted(Comparator.comparingLong(KeyedRecord::offset))
        .toList();
  }

  /**
   * Applies records and returns those that are newer than the known record of their key, in the
   * order given.
   */
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

  /** Records that every record below an offset is reflected in this state. */
  public void advanceTo(long offset) {
    nextOffset = Math.max(nextOffset, offset);
  }

  /**
   * Removes the keys that a full read of the newest records did not contain.
   *
   * @param present keys that the full read contained
   * @param beganAtOffset end of the stream when the full read began; keys whose record is at or
   *     above it are kept
   * @return one record without a value for each removed key
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
