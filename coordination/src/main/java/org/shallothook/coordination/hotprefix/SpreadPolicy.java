package org.shallothook.coordination.hotprefix;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.shallothook.state.cache.BlockKey;

/**
 * Decides over how many rendezvous ranks a prefix is spread, from its share of this engine.
 *
 * <p>The share is the part of the engine's slots that requests for the prefix keep busy. It doubles
 * the ranks while it is high and halves them while it is low; between the bounds, and for a time
 * after each change, nothing changes, so that routers can follow before the effect is judged.
 *
 * <p>Invariant: ranks are a power of two from 1 to {@link #MAXIMUM_RANKS}; only prefixes with more
 * than one rank are kept. Not thread-safe: used on the decision thread.
 */
final class SpreadPolicy {
  static final int MAXIMUM_RANKS = 64;

  private static final double HIGH_SHARE = 0.5;
  private static final double LOW_SHARE = 0.15;
  private static final long RAISE_INTERVAL_MICROS = 500_000;
  private static final long LOWER_INTERVAL_MICROS = 5_000_000;

  private record Spread(int ranks, long changedMicros) {}

  private final Map<BlockKey, Spread> spreads = new HashMap<>();

  /** Returns the ranks of a prefix. */
  int ranks(BlockKey key) {
    Spread spread = spreads.get(key);
    return spread == null ? 1 : spread.ranks();
  }

  /**
   * Raises the ranks of a prefix that was just asked for, if its share is high.
   *
   * @return whether the ranks were doubled
   */
  boolean hasRaised(BlockKey key, double share, long nowMicros) {
    Spread spread = spreads.get(key);
    boolean isRecent = spread != null && nowMicros - spread.changedMicros() < RAISE_INTERVAL_MICROS;
    if (share <= HIGH_SHARE || isRecent || ranks(key) == MAXIMUM_RANKS) {
      return false;
    }
    spreads.put(key, new Spread(2 * ranks(key), nowMicros));
    return true;
  }

  /**
   * Lowers the ranks of a prefix, if its share is low.
   *
   * @return whether the ranks were halved
   */
  boolean hasLowered(BlockKey key, double share, long nowMicros) {
    Spread spread = spreads.get(key);
    if (spread == null
        || share >= LOW_SHARE
        || nowMicros - spread.changedMicros() < LOWER_INTERVAL_MICROS) {
      return false;
    }
    if (spread.ranks() == 2) {
      spreads.remove(key);
    } else {
      spreads.put(key, new Spread(spread.ranks() / 2, nowMicros));
    }
    return true;
  }

  /** Returns the keys of all prefixes with more than one rank. */
  List<BlockKey> spreadKeys() {
    return List.copyOf(spreads.keySet());
  }
}
