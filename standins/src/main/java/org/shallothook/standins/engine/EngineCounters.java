package org.shallothook.standins.engine;

/**
 * Counters of an engine since its creation. Crashes and restarts don't reset them.
 *
 * <p>Immutable and thread-safe.
 *
 * @param started answers started
 * @param ended answers completed
 * @param cancelled answers cancelled
 * @param lost answers lost in crashes
 * @param crashes number of crashes
 * @param prefilledTokens tokens prefilled: uncached prompt tokens and, for resumed streams, the
 *     answer tokens delivered earlier
 * @param cachedTokens prompt tokens found in the prefix cache
 * @param decodedTokens answer tokens generated
 */
public record EngineCounters(
    long started,
    long ended,
    long cancelled,
    long lost,
    long crashes,
    long prefilledTokens,
    long cachedTokens,
    long decodedTokens) {}
