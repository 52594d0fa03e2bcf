package org.shallothook.coordination.placement;

import org.shallothook.coordination.message.Hint;

/**
 * Compares hints by the expected time to the first token that they stand for.
 *
 * <p>Invariant: a lower cost is better. Immutable and thread-safe.
 *
 * @param recomputeMicrosPerBlock time to compute a block that is not cached, in microseconds
 * @param farMicros price of leaving the router's failure domain, in microseconds
 * @param poorMicros avoidable cost from which on another upstream is worth asking, in microseconds
 */
public record HintScore(long recomputeMicrosPerBlock, long farMicros, long poorMicros) {

  /**
   * Returns the expected time until the first token, in microseconds.
   *
   * @param hint what the upstream said
   * @param promptBlocks whole blocks of the prompt
   * @param isNear whether the upstream is in the router's failure domain
   */
  public long costMicros(Hint hint, int promptBlocks, boolean isNear) {
    return avoidableMicros(hint, promptBlocks) + (isNear ? 0 : farMicros);
  }

  /**
   * Returns whether another upstream may be much better.
   *
   * @param hint what the upstream said
   * @param expectedBlocks blocks that some upstream has probably cached
   */
  public boolean isWorseThanExpected(Hint hint, int expectedBlocks) {
    return avoidableMicros(hint, expectedBlocks) > poorMicros;
  }

  private long avoidableMicros(Hint hint, int blocks) {
    int missing = Math.max(0, blocks - hint.matchedBlocks());
    return hint.queueDelayMicros() + missing * recomputeMicrosPerBlock;
  }
}
