package org.shallothook.coordination.placement;

import org.shallothook.coordination.message.Hint;

/**
 * Estimates the time to the first token from the hint of an upstream.
 *
 * <p>Invariant: a lower cost is better. Immutable and thread-safe.
 *
 * @param recomputeMicrosPerBlock time to compute a block that is not cached, in microseconds
 * @param crossDomainPenaltyMicros cost added to an upstream outside the router's failure domain, in
 *     microseconds
 * @param poorHintThresholdMicros expected queue and prefill time above which the next upstream is
 *     asked as well, in microseconds
 */
public record HintScore(
    long recomputeMicrosPerBlock, long crossDomainPenaltyMicros, long poorHintThresholdMicros) {

  /**
   * Returns the expected time to the first token, in microseconds, plus the cost of crossing
   * failure domains.
   *
   * @param hint hint of the upstream
   * @param promptBlocks number of whole blocks of the prompt
   * @param isSameDomain whether the upstream is in the router's failure domain
   */
  public long costMicros(Hint hint, int promptBlocks, boolean isSameDomain) {
    return queueAndPrefillMicros(hint, promptBlocks)
        + (isSameDomain ? 0 : crossDomainPenaltyMicros);
  }

  /**
   * Returns whether another upstream may be much better than the one that gave the hint.
   *
   * @param hint hint of the upstream
   * @param expectedBlocks number of blocks that some upstream has probably cached
   */
  public boolean isWorseThanExpected(Hint hint, int expectedBlocks) {
    return queueAndPrefillMicros(hint, expectedBlocks) > poorHintThresholdMicros;
  }

  private long queueAndPrefillMicros(Hint hint, int blocks) {
    int missing = Math.max(0, blocks - hint.matchedBlocks());
    return hint.queueDelayMicros() + missing * recomputeMicrosPerBlock;
  }
}
