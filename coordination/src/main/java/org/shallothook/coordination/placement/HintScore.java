package org.shallothook.coordination.placement;

import org.shallothook.coordination.message.Hint;

/**
 * Compares hints by what a choice costs: the expected time to the first token, with the engine's
 * time for missed blocks counted several times, because it delays every other request there and
 * pushes others' blocks out of the cache.
 *
 * <p>Invariant: a lower cost is better. Immutable and thread-safe.
 *
 * @param recomputeMicrosPerBlock time to compute a block that is not cached, in microseconds
 * @param farMicros price of leaving the router's failure domain, in microseconds
 * @param poorMicros avoidable wait from which on another upstream is worth asking, in microseconds
 */
public record HintScore(long recomputeMicrosPerBlock, long farMicros, long poorMicros) {
  private static final long RECOMPUTE_WEIGHT = 3;

  /**
   * Returns the cost of a choice, in microseconds.
   *
   * @param hint what the upstream said
   * @param promptBlocks whole blocks of the prompt
   * @param isNear whether the upstream is in the router's failure domain
   */
  public long costMicros(Hint hint, int promptBlocks, boolean isNear) {
    int missing = missing(hint, promptBlocks);
    return hint.queueDelayMicros() + recomputeCostMicros(missing) + (isNear ? 0 : farMicros);
  }

  /**
   * Returns whether another upstream may be much better.
   *
   * @param hint what the upstream said
   * @param expectedBlocks blocks that some upstream has probably cached
   */
  public boolean isPoor(Hint hint, int expectedBlocks) {
    long recompute = missing(hint, expectedBlocks) * recomputeMicrosPerBlock;
    return hint.queueDelayMicros() + recompute > poorMicros;
  }

  /**
   * Returns whether leaving the home set costs less than the wait in it.
   *
   * @param queueDelayMicros wait in the home set, in microseconds
   * @param expectedBlocks blocks that are probably cached there and nowhere else
   */
  public boolean isSpillWorthwhile(long queueDelayMicros, int expectedBlocks) {
    return recomputeCostMicros(expectedBlocks) < queueDelayMicros;
  }

  private long recomputeCostMicros(int blocks) {
    return blocks * recomputeMicrosPerBlock * RECOMPUTE_WEIGHT;
  }

  private static int missing(Hint hint, int blocks) {
    return Math.max(0, blocks - hint.matchedBlocks());
  }
}
