package org.shallothook.state.cache;

import java.util.ArrayList;
import java.util.List;

/**
 * Selects the block keys of a chain that an offer carries, and expands them to a chain again.
 *
 * <p>The key of a block covers all blocks before it, so a few keys suffice to find how much of a
 * chain is cached: the first two, every fourth, and the last six, where the turns of a conversation
 * differ. An omitted key is replaced by the next sampled one, whose block is cached only if the
 * blocks before it are.
 *
 * <pre>{@code
 * List<BlockKey> sent = BlockKeySample.of(chain);
 * List<BlockKey> chain = BlockKeySample.expand(sent, blocks);
 * }</pre>
 *
 * <p>Invariant: which keys are sampled depends only on the number of blocks. Stateless and
 * thread-safe.
 */
public final class BlockKeySample {
  private static final int FIRST_KEYS = 2;
  private static final int STRIDE = 4;
  private static final int LAST_KEYS = 6;

  private BlockKeySample() {}

  /** Returns the sampled keys of a chain, in order. */
  public static List<BlockKey> of(List<BlockKey> chain) {
    List<BlockKey> sample = new ArrayList<>();
    for (int depth = 1; depth <= chain.size(); depth++) {
      if (isSampled(depth, chain.size())) {
        sample.add(chain.get(depth - 1));
      }
    }
    return sample;
  }

  /**
   * Returns one key for each block of the chain from which a sample was taken.
   *
   * @param sample keys that were received
   * @param blocks number of blocks in the chain
   * @return as many keys as blocks; the given keys if they are not a sample of that many blocks, as
   *     from a sender that omits no keys
   */
  public static List<BlockKey> expand(List<BlockKey> sample, int blocks) {
    List<BlockKey> chain = new ArrayList<>();
    int next = 0;
    for (int depth = 1; depth <= blocks; depth++) {
      if (next == sample.size()) {
        return sample;
      }
      chain.add(sample.get(next));
      next += isSampled(depth, blocks) ? 1 : 0;
    }
    return next == sample.size() ? chain : sample;
  }

  private static boolean isSampled(int depth, int blocks) {
    return depth <= FIRST_KEYS || depth % STRIDE == 0 || depth > blocks - LAST_KEYS;
  }
}
