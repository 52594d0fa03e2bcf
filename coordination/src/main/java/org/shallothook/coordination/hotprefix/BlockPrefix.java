package org.shallothook.coordination.hotprefix;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.shallothook.state.cache.BlockKey;
import org.shallothook.state.cache.CacheIdentity;

/**
 * The leading blocks of a prompt, up to a depth.
 *
 * <p>Demand is tracked at depths that are powers of two, so that a chain of 64 blocks counts as
 * seven prefixes, and at the depth that a chain shares with an earlier one.
 *
 * <p>Invariant: the depth is between 1 and the length of the chain. Immutable and thread-safe.
 *
 * @param identity scope within which the blocks may be reused
 * @param chain block keys of the whole prompt
 * @param depth number of leading blocks
 */
record BlockPrefix(CacheIdentity identity, List<BlockKey> chain, int depth) {

  /** Returns the prefixes of a chain at power-of-two depths, shortest first. */
  static List<BlockPrefix> of(CacheIdentity identity, List<BlockKey> chain) {
    List<BlockPrefix> prefixes = new ArrayList<>();
    for (int depth = 1; depth <= chain.size(); depth *= 2) {
      prefixes.add(new BlockPrefix(identity, chain, depth));
    }
    return prefixes;
  }

  /**
   * Returns the prefix that another chain shares with this one's chain, if it is deeper than this
   * prefix and its depth is not a power of two.
   */
  Optional<BlockPrefix> sharedBeyond(List<BlockKey> other) {
    int shared = depth;
    int limit = Math.min(chain.size(), other.size());
    while (shared < limit && chain.get(shared).equals(other.get(shared))) {
      shared++;
    }
    boolean isNew = shared > depth && Integer.bitCount(shared) > 1;
    return isNew ? Optional.of(new BlockPrefix(identity, other, shared)) : Optional.empty();
  }

  /** Returns the key of the last block, which identifies the whole prefix. */
  BlockKey key() {
    return chain.get(depth - 1);
  }

  /** Returns the keys of the prefix. */
  List<BlockKey> keys() {
    return chain.subList(0, depth);
  }
}
