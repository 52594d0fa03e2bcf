package org.shallothook.coordination.sidecar;

/**
 * Load of a sidecar, as the sidecar itself knows it.
 *
 * <p>Immutable and thread-safe.
 *
 * @param running number of attempts running on the engine
 * @param waiting number of accepted attempts that are not running yet
 * @param cachedBlocks number of blocks in the prefix index
 */
public record SidecarLoad(int running, int waiting, int cachedBlocks) {}
