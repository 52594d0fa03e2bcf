package org.shallothook.standins.engine;

import java.util.List;
import org.shallothook.state.cache.BlockKey;
import org.shallothook.state.cache.CacheIdentity;

/**
 * A request to generate an answer.
 *
 * <p>Immutable and thread-safe.
 *
 * @param id identifier of the attempt
 * @param identity scope within which cached blocks are shared; includes the required model version
 * @param priority 0 for priority requests, 1 for normal requests
 * @param keys keys of the prompt's complete blocks
 * @param prompt rendered prompt
 * @param resumePosition number of answer tokens already delivered
 * @param maximumTokens maximum number of tokens in the whole answer
 */
public record EngineRequest(
    String id,
    CacheIdentity identity,
    int priority,
    List<BlockKey> keys,
    String prompt,
    int resumePosition,
    int maximumTokens) {
  /** Text in a prompt that crashes any engine that starts to prefill it. */
  public static final String POISON_MARKER = "[[crash-engine]]";

  public EngineRequest {
    keys = List.copyOf(keys);
  }

  /** Returns whether prefilling the request crashes the engine. */
  boolean isPoison() {
    return prompt.contains(POISON_MARKER);
  }
}
