package org.shallothook.coordination.registry;

/**
 * How eagerly a stream is followed.
 *
 * <p>Immutable and thread-safe.
 *
 * @param longestWaitMicros how long the store may hold a read until there is a record
 * @param intervalMicros time between two reads that found nothing more
 */
public record FollowPolicy(long longestWaitMicros, long intervalMicros) {}
