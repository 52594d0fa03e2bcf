package org.shallothook.coordination.hotprefix;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import org.shallothook.state.cache.BlockKey;

/**
 * Estimates which blocks the engine has evicted before its cache events report it.
 *
 * <p>Simulates a least-recently-used cache of the same capacity. A block wrongly considered evicted
 * is imported once more; a block wrongly considered cached is computed, which takes far longer.
 *
 * <p>Invariant: tracks at most as many blocks as the cache holds, and at most {@link
 * #MAXIMUM_TRACKED_BLOCKS}. Not thread-safe: used on the decision thread.
 */
final class ExpectedEvictions {
  /** Greatest number of tracked blocks; in a larger cache, events report evictions in time. */
  static final int MAXIMUM_TRACKED_BLOCKS = 8_192;

  private static final int INITIAL_MAP_CAPACITY = 64;
  private static final float MAP_LOAD_FACTOR = 0.75f;

  private final LinkedHashMap<BlockKey, Long> lastUses =
      new LinkedHashMap<>(INITIAL_MAP_CAPACITY, MAP_LOAD_FACTOR, true);

  /**
   * Records that blocks of a chain were used or stored.
   *
   * @param keys blocks in their order in the chain
   * @param capacity capacity of the engine's cache in blocks
   * @param nowMicros time of the use
   */
  void onUsed(List<BlockKey> keys, int capacity, long nowMicros) {
    for (int block = keys.size() - 1; block >= 0; block--) {
      lastUses.put(keys.get(block), nowMicros);
    }
    Iterator<BlockKey> eldest = lastUses.keySet().iterator();
    while (lastUses.size() > Math.min(capacity, MAXIMUM_TRACKED_BLOCKS)) {
      eldest.next();
      eldest.remove();
    }
  }

  /**
   * Returns whether a block has probably been evicted, because blocks used since fill the cache.
   *
   * @param key key of the block
   * @param capacity capacity of the engine's cache in blocks
   */
  boolean contains(BlockKey key, int capacity) {
    return lastUses.size() >= capacity && !lastUses.containsKey(key);
  }

  /**
   * Returns the time of the latest use among the blocks that storing others would evict.
   *
   * @param blocks number of blocks to store
   * @param capacity capacity of the engine's cache in blocks
   * @return time in microseconds, or {@link Long#MIN_VALUE} if no known block would be evicted
   */
  long lastUseOfEvicted(int blocks, int capacity) {
    long evicted = (long) lastUses.size() + blocks - capacity;
    long lastUse = Long.MIN_VALUE;
    Iterator<Long> eldest = lastUses.values().iterator();
    for (long block = 0; block < evicted && eldest.hasNext(); block++) {
      lastUse = Math.max(lastUse, eldest.next());
    }
    return lastUse;
  }

  /** Discards all state, because the engine has restarted. */
  void onIncarnation() {
    lastUses.clear();
  }
}
