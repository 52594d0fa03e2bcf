package org.shallothook.coordination.hotprefix;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.shallothook.state.cache.BlockKey;

/**
 * Decides over how many rendezvous ranks a prefix is spread, from the share of this engine that it
 * uses.
 *
 * <p>The share is the fraction of the engine's slots that requests for the prefix keep busy. A high
 * share doubles the ranks and a low share halves them. They stay unchanged between the two bounds,
 * and for a time after each change, so that routers apply a change before its effect is evaluated.
 *
 * <p>Invariant: ranks are a power of two between 1 and {@link #MAXIMUM_RANKS}; only prefixes with
 * more than one rank are stored. Not thread-safe: used on the decision thread.
 */
final class SpreadPolicy {
  static final int MAXIMUM_RANKS = 64;

  private static final double HIGH_SHARE = 0.5;
  private static final double LOW_SHARE = 0.15;
  private static final long INCREASE_INTERVAL_MICROS = 500_000;
  private static final long DECREASE_INTERVAL_MICROS = 5_000_000;

  private record Spread(int ranks, long changedMicros) {}

  private final Map<BlockKey, Spread> spreads = new HashMap<>();

  /** Returns the number of ranks of a prefix. */
  int ranks(BlockKey key) {
    Spread spread = spreads.get(key);
    return spread == null ? 1 : spread.ranks();
  }

  /**
   * Doubles the ranks of a prefix that was just requested, if its share is high.
   *
   * @return whether the ranks were doubled
   */
  boolean hasDoubled(BlockKey key, double share, long nowMicros) {
    Spread spread = spreads.get(key);
    boolean isRecent =
        spread != null && nowMicros - spread.changedMicros() < INCREASE_INTERVAL_MICROS;
    if (share <= HIGH_SHARE || isRecent || ranks(key) == MAXIMUM_RANKS) {
      return false;
    }
    spreads.put(key, new Spread(2 * ranks(key), nowMicros));
    return true;
  }

  /**
   * Halves the ranks of a prefix, if its share is low.
   *
   * @return whether the ranks were halved
   */
  boolean hasHalved(BlockKey key, double share, long nowMicros) {
    Spread spread = spreads.get(key);
    if (spread == null
        || share >= LOW_SHARE
        || nowMicros - spread.changedMicros() < DECREASE_INTERVAL_MICROS) {
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
