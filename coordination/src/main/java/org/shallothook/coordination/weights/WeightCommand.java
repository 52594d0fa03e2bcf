package org.shallothook.coordination.weights;

import org.shallothook.coordination.message.PeerMessage.SidecarStatus;

/**
 * Commands of a {@link WeightUpdater}.
 *
 * <p>All commands are immutable and thread-safe.
 */
public sealed interface WeightCommand {

  /** Request the server's report. */
  record ReadReport() implements WeightCommand {}

  /** Acquire a fencing token greater than that of every earlier holder. */
  record AcquireFencingToken() implements WeightCommand {}

  /** Send a load order to the server. */
  record Order(VersionOrder order) implements WeightCommand {}

  /** Read the server entries of the registry again. */
  record ReadServers() implements WeightCommand {}

  /** Read the membership records again, which show whether a server has a sidecar. */
  record ReadMembers() implements WeightCommand {}

  /**
   * Announce the status of the server to routers.
   *
   * @param status status to announce
   * @param includesSidecars whether to announce it to other sidecars as well
   */
  record Announce(SidecarStatus status, boolean includesSidecars) implements WeightCommand {}
}
