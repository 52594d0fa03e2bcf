package org.shallothook.coordination.hotprefix;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.shallothook.coordination.admission.PrefixForecast;
import org.shallothook.coordination.engine.CacheFollower;
import org.shallothook.coordination.port.Counters;
import org.shallothook.state.cache.BlockKey;
import org.shallothook.state.request.AttemptId;

/**
 * Tracks cached and pending blocks, so that a missing prefix is computed only once while other
 * requests for it wait.
 *
 * <p>The engine's cache events arrive late, so blocks that were just computed or imported are
 * assumed to be cached for a short time, and blocks that have probably been evicted are assumed not
 * to be.
 *
 * <p>Invariants: no state outlives an incarnation of the engine; every wait ends at a stored
 * deadline. Not thread-safe: used on the decision thread.
 */
final class PrefixTracker {
  private static final long MAXIMUM_WAIT_MICROS = 2_000_000;
  private static final long MINIMUM_WAIT_MICROS = 20_000;
  private static final long ASSUMED_CACHED_MICROS = 1_000_000;
  private static final long IN_USE_MICROS = 5_000_000;

  /** Number of missing blocks from which a prompt is treated as having an uncached prefix. */
  static final int COLD_PREFIX_BLOCKS = 8;

  /** Divisor of the capacity; the quotient is subtracted when estimating evictions. */
  private static final int CAPACITY_MARGIN_DIVISOR = 8;

  private record PendingBlock(Object owner, long expectedAtMicros, long waitUntilMicros) {}

  private final CacheFollower cache;
  private final Counters counters;
  private final Map<BlockKey, PendingBlock> pendingBlocks = new HashMap<>();
  private final Map<Object, List<BlockKey>> pendingChains = new HashMap<>();
  private final Map<BlockKey, Long> assumedCachedUntil = new HashMap<>();
  private final ExpectedEvictions evictions = new ExpectedEvictions();
  private final ExpectedEvictions conservativeEvictions = new ExpectedEvictions();

  /** Creates a tracker without pending blocks for an engine's cache. */
  PrefixTracker(CacheFollower cache, Counters counters) {
    this.cache = cache;
    this.counters = counters;
  }

  /** Returns the number of leading blocks of the chain that are cached or assumed to be. */
  int matchedBlocks(List<BlockKey> chain) {
    int matched = 0;
    while (matched < chain.size() && isCached(chain.get(matched))) {
      matched++;
    }
    return matched;
  }

  /**
   * Returns the blocks that would be cached for a request, including those pending for other
   * requests.
   */
  PrefixForecast forecast(List<BlockKey> chain, long nowMicros) {
    int blocks = matchedBlocks(chain);
    long waitMicros = 0;
    while (blocks < chain.size()) {
      PendingBlock pending = pendingBlocks.get(chain.get(blocks));
      boolean isPending = pending != null && nowMicros < pending.waitUntilMicros();
      if (!isPending && !isCached(chain.get(blocks))) {
        break;
      }
      waitMicros =
          isPending ? Math.max(waitMicros, pending.expectedAtMicros() - nowMicros) : waitMicros;
      blocks++;
    }
    return new PrefixForecast(blocks, waitMicros);
  }

  /**
   * Returns whether the next missing block of the chain is pending, so that a request should wait.
   */
  boolean isNextBlockPending(List<BlockKey> chain, long nowMicros) {
    int matched = matchedBlocks(chain);
    if (matched == chain.size()) {
      return false;
    }
    PendingBlock pending = pendingBlocks.get(chain.get(matched));
    return pending != null && nowMicros < pending.waitUntilMicros();
  }

  /** Records that a run has computed its whole prompt. */
  void onComputed(AttemptId run, long nowMicros) {
    List<BlockKey> chain = pendingChains.get(run);
    if (chain != null) {
      recordCached(chain, nowMicros);
    }
    removePending(run);
  }

  /**
   * Returns whether many blocks of a chain are missing and adding them would evict recently used
   * ones.
   */
  boolean wouldEvictBlocksInUse(List<BlockKey> chain, long nowMicros) {
    int missing = chain.size() - forecast(chain, nowMicros).blocks();
    return missing >= COLD_PREFIX_BLOCKS
        && evictions.lastUseOfEvicted(missing, cache.capacityBlocks()) > nowMicros - IN_USE_MICROS;
  }

  /** Records that a run uses the cached blocks of its chain and computes the others. */
  void onStarted(AttemptId run, List<BlockKey> chain, long expectedMicros, long nowMicros) {
    recordUse(chain.subList(0, matchedBlocks(chain)), nowMicros);
    addPending(run, chain, expectedMicros, nowMicros);
  }

  /**
   * Records that the missing blocks of a chain are being computed or imported.
   *
   * @param owner identifier of the run or transfer that computes or imports them
   * @param chain whole chain
   * @param expectedMicros expected duration, in microseconds
   * @param nowMicros time of the start
   */
  void addPending(Object owner, List<BlockKey> chain, long expectedMicros, long nowMicros) {
    pendingChains.put(owner, chain);
    int matched = matchedBlocks(chain);
    if (matched == chain.size()) {
      return;
    }
    long wait = Math.max(MINIMUM_WAIT_MICROS, Math.min(MAXIMUM_WAIT_MICROS, 2 * expectedMicros));
    PendingBlock pending = new PendingBlock(owner, nowMicros + expectedMicros, nowMicros + wait);
    for (BlockKey key : chain.subList(matched, chain.size())) {
      pendingBlocks.merge(
          key, pending, (open, next) -> nowMicros < open.waitUntilMicros() ? open : next);
    }
    if (!pendingBlocks.get(chain.get(matched)).owner().equals(owner)) {
      counters.increment("prefixes.computed-twice");
    }
  }

  /** Records that blocks are in the engine's cache, before its events report it. */
  void recordCached(List<BlockKey> keys, long nowMicros) {
    recordUse(keys, nowMicros);
    for (BlockKey key : keys) {
      if (!cache.contains(key)) {
        assumedCachedUntil.put(key, nowMicros + ASSUMED_CACHED_MICROS);
      }
    }
  }

  /** Removes the pending blocks of a run or transfer that has ended. */
  void removePending(Object owner) {
    List<BlockKey> chain = pendingChains.remove(owner);
    if (chain == null) {
      return;
    }
    for (BlockKey key : chain) {
      PendingBlock pending = pendingBlocks.get(key);
      if (pending != null && pending.owner().equals(owner)) {
        pendingBlocks.remove(key);
      }
    }
  }

  /** Discards all state, because the engine has restarted. */
  void onIncarnation() {
    pendingBlocks.clear();
    pendingChains.clear();
    assumedCachedUntil.clear();
    evictions.onIncarnation();
    conservativeEvictions.onIncarnation();
  }

  /**
   * Removes assumed blocks that events have reported since, or that should have been reported by
   * now.
   */
  void onTick(long nowMicros) {
    assumedCachedUntil.values().removeIf(until -> until <= nowMicros);
    assumedCachedUntil.keySet().removeIf(cache::contains);
  }

  private boolean isCached(BlockKey key) {
    return (cache.contains(key) || assumedCachedUntil.containsKey(key))
        && !conservativeEvictions.contains(key, reducedCapacity());
  }

  private void recordUse(List<BlockKey> keys, long nowMicros) {
    evictions.onUsed(keys, cache.capacityBlocks(), nowMicros);
    conservativeEvictions.onUsed(keys, reducedCapacity(), nowMicros);
  }

  /**
   * Returns a capacity somewhat below that of the engine's cache. The engine records a use only
   * when it prefills the prompt, possibly after other blocks were used or stored, so it may evict a
   * block earlier than simulated here.
   */
  private int reducedCapacity() {
    return cache.capacityBlocks() - cache.capacityBlocks() / CAPACITY_MARGIN_DIVISOR;
  }
}
