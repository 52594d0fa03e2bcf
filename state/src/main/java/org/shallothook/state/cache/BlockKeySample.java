package org.shallothook.state.cache;

import java.util.ArrayList;
import java.util.List;

/**
 * The keys of a chain that an offer carries, and the chain that they stand for.
 *
 * <p>A block's key covers all blocks before it, so few keys tell how much of a chain is cached: the
 * first two, every fourth, and the last ones, where the turns of a conversation differ. A key that
 * is left out is stood for by the next one that is not, which is cached only after it.
 *
 * <pre>{@code
 * List<BlockKey> sent = BlockKeySample.of(chain);
 * List<BlockKey> chain = BlockKeySample.expand(sent, blocks);
 * }</pre>
 *
 * <p>Invariant: the number of blocks alone decides which keys are in the sample. Stateless and
 * thread-safe.
 */
public final class BlockKeySample {
  private static final int FIRST = 2;
  private static final int STEP = 4;
  private static final int LAST = 6;

  private BlockKeySample() {}

  /** Returns the keys of a chain that are in its sample, in order. */
  public static List<BlockKey> of(List<BlockKey> chain) {
    List<BlockKey> sample = new ArrayList<>();
    for (int depth = 1; depth <= chain.size(); depth++) {
      if (isIn(depth, chain.size())) {
        sample.add(chain.get(depth - 1));
      }
    }
    return sample;
  }

  /**
   * Returns one key for each block of the chain that a sample was taken from.
   *
   * @param sample keys that were sent
   * @param blocks number of blocks of the chain
   * @return as many keys as blocks; the keys sent where they are no sample of so many blocks, as
   *     those of a sender that leaves none out
   */
  public static List<BlockKey> expand(List<BlockKey> sample, int blocks) {
    List<BlockKey> chain = new ArrayList<>();
    int next = 0;
    for (int depth = 1; depth <= blocks; depth++) {
      if (next == sample.size()) {
        return sample;
      }
      chain.add(sample.get(next));
      next += isIn(depth, blocks) ? 1 : 0;
    }
    return next == sample.size() ? chain : sample;
  }

  private static boolean isIn(int depth, int blocks) {
    return depth <= FIRST || depth % STEP == 0 || depth > blocks - LAST;
  }
}
