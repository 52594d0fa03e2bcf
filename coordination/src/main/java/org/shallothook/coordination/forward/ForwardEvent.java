package org.shallothook.coordination.forward;

import java.util.List;
import java.util.Optional;
import org.shallothook.coordination.message.PeerMessage.SidecarStatus;
import org.shallothook.coordination.port.CoreEvent;
import org.shallothook.state.route.RouteTable;
import org.shallothook.state.route.ServerEntry;
import org.shallothook.state.route.WeightVersion;

/**
 * What a forwarding router reacts to.
 *
 * <p>Requests are known by a number that the transport gives them, attempts by a number within
 * their request. All events are immutable and thread-safe.
 */
public sealed interface ForwardEvent extends CoreEvent {

  /** A whole request has arrived. */
  record Requested(long request, RequestHead head) implements ForwardEvent {}

  /** The caller has closed its connection. */
  record CallerGone(long request) implements ForwardEvent {}

  /** Nothing of an attempt was written. */
  record Unsent(long request, int attempt, String detail) implements ForwardEvent {}

  /** The head of an answer has arrived; the answer waits for a command. */
  record Answered(long request, int attempt, AnswerHead answer) implements ForwardEvent {}

  /** A relayed answer has ended as its server meant it to. */
  record Completed(long request, int attempt) implements ForwardEvent {}

  /**
   * An attempt has ended without a whole answer, and its connection is closed.
   *
   * @param isReset whether the server broke the connection, rather than sent what is no answer
   * @param lastEvent last whole event that was relayed to the caller
   */
  record Broken(long request, int attempt, boolean isReset, String detail, Optional<Long> lastEvent)
      implements ForwardEvent {}

  /** A version of the configuration was read. */
  record RoutesRead(RouteTable table) implements ForwardEvent {}

  /**
   * Entries of the registry were read.
   *
   * @param isWhole whether the entries are all that there are, rather than those that changed
   */
  record ServersRead(List<ServerEntry> entries, boolean isWhole) implements ForwardEvent {}

  /** An entry of the registry was removed. */
  record ServerRemoved(String id) implements ForwardEvent {}

  /** An operator wants a version of a model's weights everywhere. */
  record DesiredVersionChanged(WeightVersion version) implements ForwardEvent {}

  /** The registry can or cannot be read. */
  record RegistryReachable(boolean isReachable) implements ForwardEvent {}

  /** A sidecar has told the state of its server. */
  record StatusReceived(SidecarStatus status) implements ForwardEvent {}

  /** A peer has sent prompts with some openings to a server. */
  record PrefixesAnnounced(String server, List<Long> openings) implements ForwardEvent {
    public PrefixesAnnounced {
      openings = List.copyOf(openings);
    }
  }

  /** A peer has seen a request crash a server. */
  record CrashAnnounced(long contentHash, String crash) implements ForwardEvent {}

  /** The number of routers that share the load is known. */
  record RoutersCounted(int routers) implements ForwardEvent {}

  /**
   * The process is to end, and callers should have found others by now.
   *
   * @param endsAtMicros when it ends at the latest
   */
  record Leaving(long endsAtMicros) implements ForwardEvent {}

  /** Time has passed. */
  record Tick() implements ForwardEvent {}
}
