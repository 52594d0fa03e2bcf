package org.shallothook.coordination.sidecar;

/**
 * Load of a sidecar as it knows it itself.
 *
 * <p>Immutable and thread-safe.
 *
 * @param running attempts on the engine
 * @param waiting attempts with a place that do not run
 * @param cachedBlocks blocks in the prefix index
 */
public record SidecarLoad(int running, int waiting, int cachedBlocks) {}
