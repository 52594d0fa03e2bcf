package org.shallothook.standins.engine;

/**
 * What an engine has done since it was created, crashes included.
 *
 * <p>Immutable and thread-safe.
 *
 * @param started answers begun
 * @param ended answers completed
 * @param cancelled answers cancelled
 * @param lost answers lost in crashes
 * @param crashes crashes
 * @param prefilledTokens prompt and delivered tokens computed
 * @param cachedTokens prompt tokens taken from the cache
 * @param decodedTokens tokens generated
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
