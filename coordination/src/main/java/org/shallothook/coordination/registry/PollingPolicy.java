package org.shallothook.coordination.registry;

/**
 * How often a stream is read.
 *
 * <p>Immutable and thread-safe.
 *
 * @param maximumWaitMicros maximum time for which the store may hold a read until a record arrives,
 *     in microseconds
 * @param intervalMicros time after a read that reached the end of the stream, in microseconds
 */
public record PollingPolicy(long maximumWaitMicros, long intervalMicros) {}
