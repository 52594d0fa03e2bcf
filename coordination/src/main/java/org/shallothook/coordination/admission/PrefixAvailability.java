package org.shallothook.coordination.admission;

import java.util.List;
import org.shallothook.coordination.message.PeerMessage;
import org.shallothook.state.cache.BlockKey;
import org.shallothook.state.request.AttemptId;

/**
 * Availability of cached prefixes, as admission control needs it; also tracks prefixes being
 * computed.
 *
 * <p>Not thread-safe: used on the decision thread.
 */
public interface PrefixAvailability {

  /** Returns the number of leading blocks of the chain that are cached or assumed to be. */
  int matchedBlocks(List<BlockKey> chain);

  /**
   * Returns the blocks that would be cached for the request of an offer, including blocks that are
   * being computed or imported for other requests, or would be imported for this one.
   *
   * @param offer offer of the request
   * @param prefillMicrosPerBlock expected time to compute a block, in microseconds
   * @param nowMicros time of the offer
   */
  PrefixForecast forecast(PeerMessage.Offer offer, long prefillMicrosPerBlock, long nowMicros);

  /**
   * Returns whether many blocks of a chain are missing and adding them would evict recently used
   * ones.
   *
   * @param chain block keys of a prompt, without its partial last block
   * @param nowMicros current time, in microseconds since the epoch
   */
  boolean wouldEvictBlocksInUse(List<BlockKey> chain, long nowMicros);

  /**
   * Returns whether the next missing block of the chain is pending, so that a request should wait.
   */
  boolean isNextBlockPending(List<BlockKey> chain, long nowMicros);

  /**
   * Starts to fetch the missing blocks of a request that is about to run, if that is cheaper than
   * computing them.
   *
   * @param offer offer of the request
   * @param prefillMicrosPerBlock expected time to compute a block, in microseconds
   * @param nowMicros time of the decision
   * @return whether a fetch was started, so that the request should wait for its blocks
   */
  boolean hasStartedFetch(PeerMessage.Offer offer, long prefillMicrosPerBlock, long nowMicros);

  /**
   * Records that a run computes the missing blocks of its chain.
   *
   * @param run run on the engine
   * @param chain block keys of the prompt, without its partial last block
   * @param expectedMicros expected duration of the computation, in microseconds
   * @param nowMicros time of the start
   */
  void onStarted(AttemptId run, List<BlockKey> chain, long expectedMicros, long nowMicros);

  /** Records that a run has computed its whole prompt. */
  void onComputed(AttemptId run, long nowMicros);

  /** Records that a run has ended, whether or not it has computed its prompt. */
  void onRunEnded(AttemptId run);
}
