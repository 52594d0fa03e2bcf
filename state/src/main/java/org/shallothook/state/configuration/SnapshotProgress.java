package org.shallothook.state.configuration;

import java.util.BitSet;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Tracks which parts of which snapshots a sequence of records contains.
 *
 * <p>Invariant: a part counts once, even if several processes wrote it or it was written
 * repeatedly. Not thread-safe.
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

  /** Adds a part and returns whether its snapshot is complete. */
  boolean add(ConfigurationRecord.SnapshotPart part) {
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

  /** Returns the offset of the newest snapshot of which a part was added. */
  Optional<Long> newest() {
    return Optional.ofNullable(snapshots.lastEntry()).map(Map.Entry::getKey);
  }

  void removeBelow(long at) {
    snapshots.headMap(at, false).clear();
  }

  void clear() {
    snapshots.clear();
  }
}
