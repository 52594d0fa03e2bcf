package org.shallothook.coordination.admission;

/**
 * What a request that came now would find cached when it could start.
 *
 * <p>Immutable and thread-safe.
 *
 * @param blocks leading blocks that are cached or being obtained for others
 * @param waitMicros expected time until all of them are cached, in microseconds
 */
public record PrefixForecast(int blocks, long waitMicros) {}
