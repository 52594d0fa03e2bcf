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
 * Lets a missing prefix be computed once: others that need it wait for the one that computes it.
 *
 * <p>The engine's cache events come late, so blocks that were just computed here or imported count
 * as cached for a short time, and blocks that others have probably evicted do not.
 *
 * <p>Invariants: nothing is held over an incarnation of the engine; every wait ends at a stored
 * deadline. Not thread-safe: used on the decision thread.
 */
final class PrefixGate {
  private static final long MAXIMUM_WAIT_MICROS = 2_000_000;
  private static final long MINIMUM_WAIT_MICROS = 20_000;
  private static final long RECENT_MICROS = 1_000_000;
  private static final long IN_USE_MICROS = 5_000_000;

  /** Number of missing blocks from which on a prompt is taken for one with a cold opening. */
  static final int MANY_BLOCKS = 8;

  /** Part of the room by which a block counts as evicted early. */
  private static final int MARGIN_PARTS = 8;

  private record Computation(Object owner, long expectedAtMicros, long waitUntilMicros) {}

  private final CacheFollower cache;
  private final Counters counters;
  private final Map<BlockKey, Computation> computations = new HashMap<>();
  private final Map<Object, List<BlockKey>> chains = new HashMap<>();
  private final Map<BlockKey, Long> recentUntil = new HashMap<>();
  private final ExpectedEvictions evictions = new ExpectedEvictions();
  private final ExpectedEvictions earlyEvictions = new ExpectedEvictions();

  /** Creates a gate before an engine's cache. */
  PrefixGate(CacheFollower cache, Counters counters) {
    this.cache = cache;
    this.counters = counters;
  }

  /** Returns the number of leading blocks of the chain that the engine need not compute. */
  int matchedBlocks(List<BlockKey> chain) {
    int matched = 0;
    while (matched < chain.size() && isAvailable(chain.get(matched))) {
      matched++;
    }
    return matched;
  }

  /** Returns what a request for the chain would find, with what is being obtained for others. */
  PrefixForecast forecast(List<BlockKey> chain, long nowMicros) {
    int blocks = matchedBlocks(chain);
    long waitMicros = 0;
    while (blocks < chain.size()) {
      Computation computation = computations.get(chain.get(blocks));
      boolean isComing = computation != null && nowMicros < computation.waitUntilMicros();
      if (!isComing && !isAvailable(chain.get(blocks))) {
        break;
      }
      waitMicros =
          isComing ? Math.max(waitMicros, computation.expectedAtMicros() - nowMicros) : waitMicros;
      blocks++;
    }
    return new PrefixForecast(blocks, waitMicros);
  }

  /** Returns whether a request should wait because its next missing block is being obtained. */
  boolean isAwaited(List<BlockKey> chain, long nowMicros) {
    int matched = matchedBlocks(chain);
    if (matched == chain.size()) {
      return false;
    }
    Computation computation = computations.get(chain.get(matched));
    return computation != null && nowMicros < computation.waitUntilMicros();
  }

  /** Notes that a run has computed its whole prompt. */
  void onComputed(AttemptId run, long nowMicros) {
    List<BlockKey> chain = chains.get(run);
    if (chain != null) {
      noteAvailable(chain, nowMicros);
    }
    end(run);
  }

  /** Returns whether much is missing of a chain, and obtaining it would evict blocks in use. */
  boolean wouldEvictUsed(List<BlockKey> chain, long nowMicros) {
    int missing = chain.size() - forecast(chain, nowMicros).blocks();
    return missing >= MANY_BLOCKS
        && evictions.lastUseOfEvicted(missing, cache.room()) > nowMicros - IN_USE_MICROS;
  }

  /** Notes that a run uses the cached blocks of its chain and computes the others. */
  void onStarted(AttemptId run, List<BlockKey> chain, long expectedMicros, long nowMicros) {
    noteUsed(chain.subList(0, matchedBlocks(chain)), nowMicros);
    begin(run, chain, expectedMicros, nowMicros);
  }

  /**
   * Notes that the missing blocks of a chain are being obtained.
   *
   * @param owner run or transfer that obtains them
   * @param chain whole chain
   * @param expectedMicros expected time, in microseconds
   * @param nowMicros time of the start
   */
  void begin(Object owner, List<BlockKey> chain, long expectedMicros, long nowMicros) {
    chains.put(owner, chain);
    int matched = matchedBlocks(chain);
    if (matched == chain.size()) {
      return;
    }
    long wait = Math.max(MINIMUM_WAIT_MICROS, Math.min(MAXIMUM_WAIT_MICROS, 2 * expectedMicros));
    Computation computation = new Computation(owner, nowMicros + expectedMicros, nowMicros + wait);
    for (BlockKey key : chain.subList(matched, chain.size())) {
      computations.merge(
          key, computation, (open, next) -> nowMicros < open.waitUntilMicros() ? open : next);
    }
    if (!computations.get(chain.get(matched)).owner().equals(owner)) {
      counters.increment("prefixes.computed-twice");
    }
  }

  /** Notes that blocks are in the engine's cache, ahead of its events. */
  void noteAvailable(List<BlockKey> keys, long nowMicros) {
    noteUsed(keys, nowMicros);
    for (BlockKey key : keys) {
      if (!cache.contains(key)) {
        recentUntil.put(key, nowMicros + RECENT_MICROS);
      }
    }
  }

  /** Notes that a run or transfer is over. */
  void end(Object owner) {
    List<BlockKey> chain = chains.remove(owner);
    if (chain == null) {
      return;
    }
    for (BlockKey key : chain) {
      Computation computation = computations.get(key);
      if (computation != null && computation.owner().equals(owner)) {
        computations.remove(key);
      }
    }
  }

  /** Forgets everything: the engine has started anew. */
  void onIncarnation() {
    computations.clear();
    chains.clear();
    recentUntil.clear();
    evictions.onIncarnation();
    earlyEvictions.onIncarnation();
  }

  /** Forgets what the events have reported, or was computed too long ago to be unreported. */
  void onTick(long nowMicros) {
    recentUntil.values().removeIf(until -> until <= nowMicros);
    recentUntil.keySet().removeIf(cache::contains);
  }

  private boolean isAvailable(BlockKey key) {
    return (cache.contains(key) || recentUntil.containsKey(key))
        && !earlyEvictions.contains(key, earlyRoom());
  }

  private void noteUsed(List<BlockKey> keys, long nowMicros) {
    evictions.onUsed(keys, cache.room(), nowMicros);
    earlyEvictions.onUsed(keys, earlyRoom(), nowMicros);
  }

  /**
   * Returns the room of a cache that evicts somewhat earlier than the engine's. The engine counts a
   * use when it reads a prompt, which may be after others have been read or stored.
   */
  private int earlyRoom() {
    return cache.room() - cache.room() / MARGIN_PARTS;
  }
}
