package org.shallothook.coordination.admission;

import java.util.List;
import org.shallothook.coordination.message.PeerMessage;
import org.shallothook.state.cache.BlockKey;
import org.shallothook.state.request.AttemptId;

/**
 * What admission needs to know of cached prefixes, and tells of those being computed.
 *
 * <p>Not thread-safe: used on the decision thread.
 */
public interface PrefixSupply {

  /** Returns the number of leading blocks of the chain that the engine need not compute. */
  int matchedBlocks(List<BlockKey> chain);

  /**
   * Returns what the request of an offer would find, with what is being obtained for others and
   * what would be imported for it.
   *
   * @param offer the offer
   * @param prefillMicrosPerBlock expected time to compute a block, in microseconds
   * @param nowMicros time of the offer
   */
  PrefixForecast forecast(PeerMessage.Offer offer, long prefillMicrosPerBlock, long nowMicros);

  /**
   * Returns whether obtaining the missing blocks of a chain would evict blocks that are in use.
   *
   * @param chain keys of a prompt's whole blocks
   * @param nowMicros time of the question
   */
  boolean wouldEvictUsed(List<BlockKey> chain, long nowMicros);

  /** Returns whether a request should wait because its next missing block is being obtained. */
  boolean isAwaited(List<BlockKey> chain, long nowMicros);

  /**
   * Fetches what a request misses that is about to run, where that is cheaper than computing it.
   *
   * @param offer offer of the request
   * @param prefillMicrosPerBlock expected time to compute a block, in microseconds
   * @param nowMicros time of the decision
   * @return whether the request should wait for blocks that were asked for now
   */
  boolean hasFetchedFor(PeerMessage.Offer offer, long prefillMicrosPerBlock, long nowMicros);

  /**
   * Notes that a run computes the missing blocks of its chain.
   *
   * @param run run on the engine
   * @param chain keys of the prompt's whole blocks
   * @param expectedMicros expected time of the computation, in microseconds
   * @param nowMicros time of the start
   */
  void onStarted(AttemptId run, List<BlockKey> chain, long expectedMicros, long nowMicros);

  /** Notes that a run has computed its whole prompt. */
  void onComputed(AttemptId run, long nowMicros);

  /** Notes that a run is over, whether or not it has computed its prompt. */
  void onRunEnded(AttemptId run);
}
