package org.shallothook.coordination.weights;

import io.vavr.control.Either;
import java.util.Optional;
import org.shallothook.coordination.message.PeerMessage.SidecarStatus;
import org.shallothook.coordination.port.CoreEvent;
import org.shallothook.state.log.WrittenTime;
import org.shallothook.state.route.ServerEntry;
import org.shallothook.state.route.WeightVersion;

/**
 * Events that a {@link WeightUpdater} handles.
 *
 * <p>All events are immutable and thread-safe.
 */
public sealed interface WeightEvent extends CoreEvent {

  /**
   * Operators want a version.
   *
   * @param desired desired version
   * @param written what is known of the time at which operators have set it
   */
  record DesiredVersionChanged(WeightVersion desired, WrittenTime written) implements WeightEvent {}

  /** A report was read, or the read failed with the detail on the left. */
  record Reported(Either<String, EngineReport> result) implements WeightEvent {}

  /** A load order has a result. */
  record Ordered(VersionOrder order, VersionOrderResult result) implements WeightEvent {}

  /** An attempt to acquire a fencing token has ended; empty if it failed. */
  record FencingTokenAcquired(Optional<Long> fencingToken) implements WeightEvent {}

  /** An entry of the registry was read. */
  record ServerListed(ServerEntry entry) implements WeightEvent {}

  /** All existing entries of the registry are known. */
  record ServersComplete() implements WeightEvent {}

  /** An entry of the registry was removed. */
  record ServerRemoved(String id) implements WeightEvent {}

  /** Another process has announced the status of a server. */
  record StatusReceived(SidecarStatus status) implements WeightEvent {}

  /** Time has passed. */
  record Tick() implements WeightEvent {}
}
