package org.shallothook.coordination.weights;

import io.vavr.control.Either;
import java.util.Optional;
import org.shallothook.coordination.message.PeerMessage.SidecarStatus;
import org.shallothook.coordination.port.CoreEvent;
import org.shallothook.state.route.ServerEntry;
import org.shallothook.state.route.WeightVersion;

/**
 * What the keeper of a server's weights reacts to.
 *
 * <p>All events are immutable and thread-safe.
 */
public sealed interface WeightEvent extends CoreEvent {

  /** Operators want a version. */
  record DesiredVersionChanged(WeightVersion desired) implements WeightEvent {}

  /** The server has reported, or the left side says why not. */
  record Reported(Either<String, EngineReport> answer) implements WeightEvent {}

  /** An order was answered. */
  record Ordered(VersionOrder order, OrderAnswer answer) implements WeightEvent {}

  /** A number that orders holders was taken, if it was. */
  record FencingTokenAcquired(Optional<Long> fence) implements WeightEvent {}

  /** An entry of the registry was read. */
  record ServerListed(ServerEntry entry) implements WeightEvent {}

  /** An entry of the registry was removed. */
  record ServerRemoved(String id) implements WeightEvent {}

  /** Another sidecar has told the state of its server. */
  record StatusReceived(SidecarStatus status) implements WeightEvent {}

  /** Time has passed. */
  record Tick() implements WeightEvent {}
}
