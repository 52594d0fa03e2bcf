package org.shallothook.coordination.weights;

import org.shallothook.coordination.message.PeerMessage.SidecarStatus;

/**
 * What the keeper of a server's weights wants done.
 *
 * <p>All commands are immutable and thread-safe.
 */
public sealed interface WeightCommand {

  /** Read the server's report. */
  record ReadReport() implements WeightCommand {}

  /** Take a number that is greater than that of every earlier holder. */
  record AcquireFencingToken() implements WeightCommand {}

  /** Give an order. */
  record Order(VersionOrder order) implements WeightCommand {}

  /** Read the registry's entries again. */
  record ReadServers() implements WeightCommand {}

  /**
   * Tell routers the state of the server.
   *
   * @param includesSidecars whether other sidecars have to know as well
   */
  record Announce(SidecarStatus status, boolean includesSidecars) implements WeightCommand {}
}
