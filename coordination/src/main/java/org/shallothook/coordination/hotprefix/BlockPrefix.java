package org.shallothook.coordination.hotprefix;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.shallothook.state.cache.BlockKey;
import org.shallothook.state.cache.CacheIdentity;

/**
 * The leading blocks of a prompt, down to a depth.
 *
 * <p>Demand is followed at depths that are powers of two, so that a chain of 64 blocks counts for
 * seven prefixes, and at the depth that a chain was found to share with an earlier one.
 *
 * <p>Invariant: the depth is from 1 to the length of the chain. Immutable and thread-safe.
 *
 * @param identity scope within which the blocks may be reused
 * @param chain keys of the prompt that the prefix was taken from
 * @param depth number of leading blocks
 */
record BlockPrefix(CacheIdentity identity, List<BlockKey> chain, int depth) {

  /** Returns the prefixes of a chain whose demand is followed, shortest first. */
  static List<BlockPrefix> of(CacheIdentity identity, List<BlockKey> chain) {
    List<BlockPrefix> prefixes = new ArrayList<>();
    for (int depth = 1; depth <= chain.size(); depth *= 2) {
      prefixes.add(new BlockPrefix(identity, chain, depth));
    }
    return prefixes;
  }

  /** Returns the part of another chain that it shares with this prefix's, if that goes deeper. */
  Optional<BlockPrefix> sharedBeyond(List<BlockKey> other) {
    int shared = depth;
    int limit = Math.min(chain.size(), other.size());
    while (shared < limit && chain.get(shared).equals(other.get(shared))) {
      shared++;
    }
    boolean isNew = shared > depth && Integer.bitCount(shared) > 1;
    return isNew ? Optional.of(new BlockPrefix(identity, other, shared)) : Optional.empty();
  }

  /** Returns the key of the last block, which stands for the whole prefix. */
  BlockKey key() {
    return chain.get(depth - 1);
  }

  /** Returns the keys of the prefix. */
  List<BlockKey> keys() {
    return chain.subList(0, depth);
  }
}
