package org.shallothook.coordination.admission;

/**
 * Forecast of the blocks that would be cached when a request that arrives now could start.
 *
 * <p>Immutable and thread-safe.
 *
 * @param blocks number of leading blocks that are cached, being computed or imported for other
 *     requests, or would be imported for this one
 * @param waitMicros expected time until all of them are cached, in microseconds
 */
public record PrefixForecast(int blocks, long waitMicros) {}
