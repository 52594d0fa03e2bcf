package org.shallothook.state.configuration;

import java.util.BitSet;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Which parts of which snapshots a run of records holds.
 *
 * <p>Invariant: counts a part once, whoever wrote it and how often. Not thread-safe.
 */
final class SnapshotProgress {
  private final TreeMap<Long, Parts> snapshots = new TreeMap<>();

  private static final class Parts {
    private final BitSet seen = new BitSet();
    private final int total;

    private Parts(int total) {
      this.total = total;
    }
  }

  /** Notes a part and returns whether its snapshot is complete. */
  boolean note(ConfigurationRecord.SnapshotPart part) {
    Parts parts = snapshots.computeIfAbsent(part.at(), at -> new Parts(part.parts()));
    if (parts.total != part.parts()) {
      return false;
    }
    parts.seen.set(part.part());
    return parts.seen.cardinality() == parts.total;
  }

  boolean has(long at, int part) {
    return Optional.ofNullable(snapshots.get(at)).map(p -> p.seen.get(part)).orElse(false);
  }

  /** Returns the offset of the newest snapshot of which any part was seen. */
  Optional<Long> newest() {
    return Optional.ofNullable(snapshots.lastEntry()).map(Map.Entry::getKey);
  }

  void forgetBelow(long at) {
    snapshots.headMap(at, false).clear();
  }

  void clear() {
    snapshots.clear();
  }
}
