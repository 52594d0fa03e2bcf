package org.shallothook.coordination.forward;

import java.util.List;
import java.util.Optional;
import org.shallothook.state.request.Refusal;
import org.shallothook.state.route.CallerLimits;

/**
 * Command of a forwarding router to its transport and peers.
 *
 * <p>All commands are immutable and thread-safe.
 */
public sealed interface ForwardCommand {

  /** Send a request to a server. */
  record Send(long request, int attempt, Dispatch dispatch) implements ForwardCommand {}

  /**
   * Relay the response of an attempt to the caller as it arrives.
   *
   * @param stallMicros silence of the server after which the attempt counts as broken, in
   *     microseconds; empty unless the stream can be resumed at another server
   */
  record Relay(long request, int attempt, Optional<Long> stallMicros) implements ForwardCommand {}

  /** Drop an attempt and close its connection, unless its response has been received completely. */
  record Drop(long request, int attempt) implements ForwardCommand {}

  /** Respond to the caller with a refusal. */
  record Refuse(long request, Refusal refusal) implements ForwardCommand {}

  /** Abort a response that has started, in a way that shows the caller that it is incomplete. */
  record BreakOff(long request, String detail) implements ForwardCommand {}

  /**
   * Announce to the other routers that a server or the cache store will hold the given prefixes.
   *
   * @param server identity of the server, or address of the store
   * @param prefixHashes hashes of the prefixes
   */
  record AnnouncePrefixes(String server, List<Long> prefixHashes) implements ForwardCommand {
    public AnnouncePrefixes {
      prefixHashes = List.copyOf(prefixHashes);
    }
  }

  /** Announce to the other routers that a request has crashed a server. */
  record AnnounceCrash(long contentHash, String crash) implements ForwardCommand {}

  /**
   * Announce to the other routers that a server is shutting down.
   *
   * @param incarnation incarnation of the server, from its registry entry
   */
  record AnnounceLeaving(String server, String incarnation) implements ForwardCommand {}

  /** Apply the limits on what callers may send. */
  record Limit(CallerLimits limits) implements ForwardCommand {}
}
