package org.shallothook.standins.store;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.shallothook.standins.cache.BlockCache;
import org.shallothook.standins.cache.CacheFeed;
import org.shallothook.standins.fault.InjectedFaults;
import org.shallothook.state.cache.BlockKey;
import org.shallothook.state.cache.CacheIdentity;

/**
 * Simulates the KV-cache store, which holds blocks by identity and key up to a fixed capacity.
 *
 * <p>Invariant: a block is returned only for the identity that it was stored under. Not
 * thread-safe.
 */
public final class CacheStoreModel {
  private final String name;
  private final int capacityBlocks;
  private final long publishDelayMicros;
  private final InjectedFaults disturbances = new InjectedFaults();
  private final Map<BlockKey, byte[]> bodies = new LinkedHashMap<>();
  private CacheFeed feed;
  private BlockCache cache;
  private int incarnation;

  /**
   * Creates an empty store.
   *
   * @param name name of the store
   * @param capacityBlocks maximum number of blocks
   * @param publishDelayMicros delay before a change is published, in microseconds
   */
  public CacheStoreModel(String name, int capacityBlocks, long publishDelayMicros) {
    this.name = name;
    this.capacityBlocks = capacityBlocks;
    this.publishDelayMicros = publishDelayMicros;
    restartEmpty();
  }

  /** Returns the injected faults. */
  public InjectedFaults disturbances() {
    return disturbances;
  }

  /** Discards all blocks and restarts as a new incarnation. */
  public void restartEmpty() {
    incarnation++;
    feed = new CacheFeed(publishDelayMicros);
    cache = new BlockCache(capacityBlocks, feed);
    bodies.clear();
  }

  /** Stores a block and evicts the least recently used blocks over the capacity. */
  public void put(CacheIdentity identity, BlockKey key, byte[] body, long nowMicros) {
    cache.store(identity, List.of(key), nowMicros);
    bodies.put(key, body);
    if (bodies.size() > cache.size()) {
      bodies.keySet().retainAll(Set.copyOf(cache.keys()));
    }
  }

  /** Returns the block stored under the identity, if present, and updates its recency. */
  public Optional<byte[]> get(CacheIdentity identity, BlockKey key) {
    if (cache.match(identity, List.of(key)) == 0) {
      return Optional.empty();
    }
    return Optional.ofNullable(bodies.get(key));
  }

  /** Returns whether a block is stored under the identity, without updating its recency. */
  public boolean contains(CacheIdentity identity, BlockKey key) {
    return cache.contains(identity, key);
  }

  /** Returns the incarnation identifier, which changes at each restart. */
  public String incarnation() {
    return name + "-" + incarnation;
  }

  /** Returns the feed of changes. */
  public CacheFeed feed() {
    return feed;
  }

  /** Returns the keys of all stored blocks. */
  public List<BlockKey> keys() {
    return cache.keys();
  }
}
