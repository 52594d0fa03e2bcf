package org.shallothook.coordination.sidecar;

import org.shallothook.state.cache.BlockKey;

/**
 * One change to an engine's cache.
 *
 * <p>Immutable and thread-safe.
 *
 * @param key key of the block that changed
 * @param isStored whether the block was stored; otherwise it was evicted
 */
public record CacheChange(BlockKey key, boolean isStored) {}
