package org.shallothook.benchmarks.virtual;

import java.util.List;
import org.shallothook.state.cache.BlockKey;
import org.shallothook.state.cache.CacheIdentity;

/**
 * The blocks of a request's prompt, as its first attempt brought them to an engine.
 *
 * <p>Immutable and thread-safe.
 *
 * @param identity scope of cache reuse
 * @param keys keys of the prompt's whole blocks
 * @param promptTokens tokens of the prompt
 * @param atMicros when the attempt began
 */
public record PromptChain(
    CacheIdentity identity, List<BlockKey> keys, long promptTokens, long atMicros) {}
