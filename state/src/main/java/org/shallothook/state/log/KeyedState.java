package org.shallothook.state.log;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;

/**
 * The newest record of each key of a stream, built from reads that may overlap or repeat.
 *
 * <pre>{@code
 * List<KeyedRecord> changes = state.apply(records);
 * List<KeyedRecord> removed = state.retain(keysInSnapshot, snapshotStartOffset, false);
 * }</pre>
 *
 * <p>Handles a store that is restored from an older copy and gives offsets out again: each restore
 * begins an era, and offsets are compared only within one. What the copy contains is compared with
 * what was known before by the versions that the values state, so that it neither replaces a newer
 * value nor brings back one that was removed. What is appended after a restore is newer than all
 * that was known before it.
 *
 * <p>Invariant: within an era the offset of a key and {@link #nextOffset} never decrease. Not
 * thread-safe.
 */
public final class KeyedState {
  /** Maximum number of removed keys that are remembered; the first to be removed go first. */
  private static final int MAXIMUM_REMOVED_KEYS = 4_096;

  private final RecordVersions versions;
  private final Map<String, Entry> newest = new HashMap<>();
  private final Set<String> removedKeys = new LinkedHashSet<>();
  private final Set<String> outdatedKeys = new HashSet<>();
  private long era;
  private long nextOffset;

  /**
   * Newest record of a key.
   *
   * @param era era of the record's offset
   * @param latestValue value of the key, or the last one before its removal
   */
  private record Entry(KeyedRecord record, long era, Optional<String> latestValue) {}

  /** Creates a state without keys whose values state no versions. */
  public KeyedState() {
    this(RecordVersions.NONE);
  }

  /** Creates a state without keys. */
  public KeyedState(RecordVersions versions) {
    this.versions = Objects.requireNonNull(versions, "versions");
  }

  /** Returns the present era; 0 if it is not known. */
  public long era() {
    return era;
  }

  /** Returns the offset below which every record of the present era is reflected in this state. */
  public long nextOffset() {
    return nextOffset;
  }

  /** Returns the value of a key; empty if the key is unknown or was removed. */
  public Optional<String> value(String key) {
    return Optional.ofNullable(newest.get(key)).flatMap(entry -> entry.record().value());
  }

  /** Returns whether the present copy of the store had an older value of a key than is known. */
  public boolean isOutdatedInStore(String key) {
    return outdatedKeys.contains(key);
  }

  /**
   * Returns the newest record of each key that a process may lack which knows the records below an
   * offset of an era: those at or above it, and those of other eras.
   *
   * @return records by era, in order of offset
   */
  public Map<Long, List<KeyedRecord>> since(long knownEra, long offset) {
    Map<Long, List<KeyedRecord>> records = new TreeMap<>();
    newest.values().stream()
        .filter(entry -> entry.era() != knownEra || entry.record().offset() >= offset)
        .sorted(Comparator.comparingLong(entry -> entry.record().offset()))
        .forEach(
            entry ->
                records
                    .computeIfAbsent(entry.era(), added -> new ArrayList<>())
                    .add(entry.record()));
    return records;
  }

  /** Begins an era, none of whose records are known; the values known before stay. */
  public void beginEra(long newEra) {
    if (era != 0) {
      nextOffset = 0;
      outdatedKeys.clear();
    }
    era = newEra;
  }

  /**
   * Applies appended records of the present era and returns those that are newer than the known
   * record of their key, in the order given.
   */
  public List<KeyedRecord> apply(Collection<KeyedRecord> records) {
    List<KeyedRecord> changes = new ArrayList<>();
    for (KeyedRecord record : records) {
      Entry known = newest.get(record.key());
      if (known == null || known.era() < era || known.record().offset() < record.offset()) {
        put(record, era);
        changes.add(record);
      }
      nextOffset = Math.max(nextOffset, record.offset() + 1);
    }
    return changes;
  }

  /**
   * Applies records of the present era that may stem from the copy that it began with, and returns
   * those that changed the value of their key.
   */
  public List<KeyedRecord> applyScanned(Collection<KeyedRecord> records) {
    return applyUnordered(records, era);
  }

  /**
   * Applies records that another process knows, and returns those that changed the value of their
   * key.
   *
   * @param recordEra era of the records
   */
  public List<KeyedRecord> applyFromPeer(Collection<KeyedRecord> records, long recordEra) {
    return applyUnordered(records, recordEra);
  }

  private List<KeyedRecord> applyUnordered(Collection<KeyedRecord> records, long recordEra) {
    List<KeyedRecord> changes = new ArrayList<>();
    for (KeyedRecord record : records) {
      Entry known = newest.get(record.key());
      if (known == null || isNewer(record, recordEra, known)) {
        boolean isChanged = known == null || !known.record().value().equals(record.value());
        put(record, recordEra);
        if (isChanged) {
          changes.add(record);
        }
      } else if (known.era() < recordEra) {
        outdatedKeys.add(record.key());
      }
      if (recordEra == era) {
        nextOffset = Math.max(nextOffset, record.offset() + 1);
      }
    }
    return changes;
  }

  private boolean isNewer(KeyedRecord record, long recordEra, Entry known) {
    if (recordEra == known.era()) {
      return known.record().offset() < record.offset();
    }
    Optional<RecordVersion> stated = versionOf(record.key(), record.value());
    Optional<RecordVersion> knownVersion = versionOf(record.key(), known.latestValue());
    if (stated.isEmpty() || knownVersion.isEmpty()) {
      return recordEra > known.era();
    }
    int order = stated.get().compareTo(knownVersion.get());
    boolean mayBeEqual = recordEra > known.era() && known.record().value().isPresent();
    return order > 0 || (order == 0 && mayBeEqual);
  }

  private Optional<RecordVersion> versionOf(String key, Optional<String> value) {
    return value.flatMap(text -> versions.versionOf(key, text));
  }

  private void put(KeyedRecord record, long recordEra) {
    Optional<Entry> known = Optional.ofNullable(newest.get(record.key()));
    put(new Entry(record, recordEra, record.value().or(() -> known.flatMap(Entry::latestValue))));
  }

  private void put(Entry entry) {
    KeyedRecord record = entry.record();
    newest.put(record.key(), entry);
    outdatedKeys.remove(record.key());
    removedKeys.remove(record.key());
    if (record.value().isEmpty()) {
      removedKeys.add(record.key());
      if (removedKeys.size() > MAXIMUM_REMOVED_KEYS) {
        String first = removedKeys.iterator().next();
        removedKeys.remove(first);
        newest.remove(first);
      }
    }
  }

  /** Records that every record of the present era below an offset is reflected in this state. */
  public void advanceTo(long offset) {
    nextOffset = Math.max(nextOffset, offset);
  }

  /**
   * Removes the keys that a full read of the newest records did not contain.
   *
   * @param present keys that the full read contained
   * @param beganAtOffset end of the stream when the full read began; keys whose record is at or
   *     above it are kept
   * @param keepsEarlierEras whether keys whose record is of an earlier era are kept as well
   * @return one record without a value for each removed key
   */
  public List<KeyedRecord> retain(
      Set<String> present, long beganAtOffset, boolean keepsEarlierEras) {
    List<KeyedRecord> removed = new ArrayList<>();
    for (Entry entry : List.copyOf(newest.values())) {
      KeyedRecord record = entry.record();
      boolean isOlder = entry.era() < era ? !keepsEarlierEras : record.offset() < beganAtOffset;
      if (isOlder && record.value().isPresent() && !present.contains(record.key())) {
        KeyedRecord removal = new KeyedRecord(record.offset(), record.key(), Optional.empty());
        // A copy that is older than the key does not say that the key was withdrawn.
        Optional<String> latestValue = entry.era() < era ? Optional.empty() : entry.latestValue();
        put(new Entry(removal, entry.era(), latestValue));
        removed.add(removal);
      }
    }
    return removed;
  }
}
