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

  /** Judges a prefix by its share of the engine. */
  void judge(BlockKey key, double share, long nowMicros) {
    Spread spread = spreads.get(key);
    if (spread == null) {
      raise(key, 1, share, nowMicros);
      return;
    }
    long age = nowMicros - spread.changedMicros();
    if (age >= RAISE_INTERVAL_MICROS && share > HIGH_SHARE) {
      raise(key, spread.ranks(), share, nowMicros);
    } else if (age >= LOWER_INTERVAL_MICROS && share < LOW_SHARE) {
      lower(key, spread.ranks(), nowMicros);
    }
  }

  /** Returns the keys of all prefixes with more than one rank. */
  Iterable<BlockKey> spreadKeys() {
    return List.copyOf(spreads.keySet());
  }

  private void raise(BlockKey key, int ranks, double share, long nowMicros) {
    if (share > HIGH_SHARE) {
      spreads.put(key, new Spread(Math.min(MAXIMUM_RANKS, 2 * ranks), nowMicros));
    }
  }

  private void lower(BlockKey key, int ranks, long nowMicros) {
    if (ranks <= 2) {
      spreads.remove(key);
    } else {
      spreads.put(key, new Spread(ranks / 2, nowMicros));
    }
  }
}
