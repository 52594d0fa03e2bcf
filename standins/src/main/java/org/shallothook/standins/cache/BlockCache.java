package org.shallothook.standins.cache;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import org.shallothook.state.cache.BlockKey;
import org.shallothook.state.cache.CacheIdentity;

/**
 * A block cache of fixed capacity with least-recently-used eviction.
 *
 * <p>The blocks of a chain are accessed from last to first, so that later blocks are evicted before
 * the earlier ones that they depend on.
 *
 * <p>Invariant: the cache never exceeds its capacity after a call, and every change is added to the
 * feed. Not thread-safe.
 */
public final class BlockCache {
  private final int capacity;
  private final CacheFeed feed;
  private final Map<Entry, Boolean> entries = new LinkedHashMap<>(16, 0.75f, true);

  /**
   * Creates an empty cache.
   *
   * @param capacity maximum number of blocks
   * @param feed feed to which each change is added
   */
  public BlockCache(int capacity, CacheFeed feed) {
    this.capacity = capacity;
    this.feed = feed;
  }

  /** Returns how many leading blocks of a chain are cached, and updates their recency. */
  public int match(CacheIdentity identity, List<BlockKey> chain) {
    int matched = matchedBlocks(identity, chain);
    for (int block = matched - 1; block >= 0; block--) {
      entries.get(new Entry(identity, chain.get(block)));
    }
    return matched;
  }

  /** Returns how many leading blocks of a chain are cached, without updating their recency. */
  public int matchedBlocks(CacheIdentity identity, List<BlockKey> chain) {
    int matched = 0;
    while (matched < chain.size() && contains(identity, chain.get(matched))) {
      matched++;
    }
    return matched;
  }

  /** Returns whether the block is cached under the identity. */
  public boolean contains(CacheIdentity identity, BlockKey key) {
    return entries.containsKey(new Entry(identity, key));
  }

  /** Stores the blocks of a chain and evicts the least recently used blocks over the capacity. */
  public void store(CacheIdentity identity, List<BlockKey> chain, long nowMicros) {
    for (int block = chain.size() - 1; block >= 0; block--) {
      Entry entry = new Entry(identity, chain.get(block));
      if (entries.put(entry, true) == null) {
        feed.add(entry.key, true, nowMicros);
      }
    }
    evictOverCapacity(nowMicros);
  }

  /** Evicts all blocks whose identity matches the predicate. */
  public void evictIf(Predicate<CacheIdentity> isEvicted, long nowMicros) {
    Iterator<Entry> iterator = entries.keySet().iterator();
    while (iterator.hasNext()) {
      Entry entry = iterator.next();
      if (isEvicted.test(entry.identity)) {
        iterator.remove();
        feed.add(entry.key, false, nowMicros);
      }
    }
  }

  /** Returns the keys of all cached blocks, least recently used first. */
  public List<BlockKey> keys() {
    List<BlockKey> keys = new ArrayList<>(entries.size());
    entries.keySet().forEach(entry -> keys.add(entry.key));
    return keys;
  }

  /** Returns the number of cached blocks. */
  public int size() {
    return entries.size();
  }

  private void evictOverCapacity(long nowMicros) {
    Iterator<Entry> iterator = entries.keySet().iterator();
    while (entries.size() > capacity) {
      Entry evicted = iterator.next();
      iterator.remove();
      feed.add(evicted.key, false, nowMicros);
    }
  }

  private record Entry(CacheIdentity identity, BlockKey key) {}
}
