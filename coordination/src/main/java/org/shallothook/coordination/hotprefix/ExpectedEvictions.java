package org.shallothook.coordination.hotprefix;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import org.shallothook.state.cache.BlockKey;

/**
 * Tells which blocks the engine has probably evicted although its events do not say so yet.
 *
 * <p>Follows the uses of blocks as a cache of the same room does that evicts the least recently
 * used one. A block that was wrongly taken for evicted is imported once more; one that was wrongly
 * taken for cached is computed, which takes longer by far.
 *
 * <p>Invariant: never follows more blocks than the room, or {@link #MAXIMUM_ROOM}. Not thread-safe:
 * used on the decision thread.
 */
final class ExpectedEvictions {
  /** Greatest room that is followed; in a larger one, events tell of evictions in time. */
  static final int MAXIMUM_ROOM = 8_192;

  private static final int INITIAL_CAPACITY = 64;
  private static final float LOAD_FACTOR = 0.75f;

  private final LinkedHashMap<BlockKey, Long> lastUses =
      new LinkedHashMap<>(INITIAL_CAPACITY, LOAD_FACTOR, true);

  /**
   * Notes that blocks of a chain were used or stored.
   *
   * @param keys blocks in their order in the chain
   * @param room blocks that the engine's cache holds
   * @param nowMicros time of the use
   */
  void onUsed(List<BlockKey> keys, int room, long nowMicros) {
    for (int block = keys.size() - 1; block >= 0; block--) {
      lastUses.put(keys.get(block), nowMicros);
    }
    Iterator<BlockKey> eldest = lastUses.keySet().iterator();
    while (lastUses.size() > Math.min(room, MAXIMUM_ROOM)) {
      eldest.next();
      eldest.remove();
    }
  }

  /**
   * Returns whether a block is probably evicted: others were used since that fill the cache.
   *
   * @param key key of the block
   * @param room blocks that the engine's cache holds
   */
  boolean contains(BlockKey key, int room) {
    return lastUses.size() >= room && !lastUses.containsKey(key);
  }

  /**
   * Returns when the latest use was of the blocks that storing others would evict.
   *
   * @param blocks number of blocks to store
   * @param room blocks that the engine's cache holds
   * @return time of that use, or {@link Long#MIN_VALUE} where none is known to be evicted
   */
  long lastUseOfEvicted(int blocks, int room) {
    long evicted = (long) lastUses.size() + blocks - room;
    long lastUse = Long.MIN_VALUE;
    Iterator<Long> eldest = lastUses.values().iterator();
    for (long block = 0; block < evicted && eldest.hasNext(); block++) {
      lastUse = Math.max(lastUse, eldest.next());
    }
    return lastUse;
  }

  /** Forgets everything: the engine has started anew. */
  void onIncarnation() {
    lastUses.clear();
  }
}
