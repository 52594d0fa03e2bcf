package org.shallothook.benchmarks.virtual;

import org.shallothook.state.request.AttemptId;

/**
 * One prompt computed by an engine.
 *
 * <p>Immutable and thread-safe.
 *
 * @param attempt attempt that it was computed for
 * @param engine name of the engine
 * @param atMicros when its computation ended
 * @param promptTokens tokens of the prompt
 * @param cachedTokens tokens taken from the engine's cache
 * @param wastedTokens tokens computed although another reachable engine or the store had them when
 *     the attempt began
 */
public record PromptSample(
    AttemptId attempt,
    String engine,
    long atMicros,
    long promptTokens,
    long cachedTokens,
    long wastedTokens) {}
