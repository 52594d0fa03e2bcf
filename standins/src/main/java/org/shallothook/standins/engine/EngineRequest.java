package org.shallothook.standins.engine;

import java.util.List;
import org.shallothook.state.cache.BlockKey;
import org.shallothook.state.cache.CacheIdentity;

/**
 * A request for an answer.
 *
 * <p>Immutable and thread-safe.
 *
 * @param id identifier of the attempt
 * @param identity scope of cache reuse, with the model version that must answer
 * @param priority 0 for priority work, 1 for ordinary work
 * @param keys keys of the prompt's whole blocks
 * @param prompt rendered prompt
 * @param resumePosition tokens of the answer that are delivered already
 * @param maximumTokens greatest number of tokens in the whole answer
 */
public record EngineRequest(
    String id,
    CacheIdentity identity,
    int priority,
    List<BlockKey> keys,
    String prompt,
    int resumePosition,
    int maximumTokens) {
  /** Text in a prompt that makes each engine that runs it crash. */
  public static final String POISON_MARKER = "[[crash-engine]]";

  public EngineRequest {
    keys = List.copyOf(keys);
  }

  /** Returns whether the request crashes the engine that runs it. */
  boolean isPoison() {
    return prompt.contains(POISON_MARKER);
  }
}
