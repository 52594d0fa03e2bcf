package org.shallothook.coordination.forward;

import java.util.List;
import java.util.Optional;
import org.shallothook.state.request.Refusal;
import org.shallothook.state.route.CallerLimits;

/**
 * What a forwarding router wants done.
 *
 * <p>All commands are immutable and thread-safe.
 */
public sealed interface ForwardCommand {

  /** Send a request to a server. */
  record Send(long request, int attempt, Dispatch dispatch) implements ForwardCommand {}

  /**
   * Pass the answer of an attempt on to the caller as it arrives.
   *
   * @param stallMicros silence of the server after which the attempt counts as broken, where the
   *     stream may go on elsewhere
   */
  record Relay(long request, int attempt, Optional<Long> stallMicros) implements ForwardCommand {}

  /** Drop an attempt and close its connection unless its whole answer is in. */
  record Drop(long request, int attempt) implements ForwardCommand {}

  /** Answer the caller with a refusal. */
  record Refuse(long request, Refusal refusal) implements ForwardCommand {}

  /** Break off an answer that has begun, so that the caller sees that it is not whole. */
  record BreakOff(long request, String detail) implements ForwardCommand {}

  /** Tell the other routers that a server reads prompts with some openings. */
  record AnnouncePrefixes(String server, List<Long> openings) implements ForwardCommand {
    public AnnouncePrefixes {
      openings = List.copyOf(openings);
    }
  }

  /** Tell the other routers that a request has crashed a server. */
  record AnnounceCrash(long contentHash, String crash) implements ForwardCommand {}

  /**
   * Tell the other routers that a server is being stopped.
   *
   * @param incarnation life of the server, as its entry names it
   */
  record AnnounceLeaving(String server, String incarnation) implements ForwardCommand {}

  /** Apply the bounds of what callers may send. */
  record Limit(CallerLimits limits) implements ForwardCommand {}
}
