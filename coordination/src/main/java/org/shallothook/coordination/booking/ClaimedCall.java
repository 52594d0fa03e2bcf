package org.shallothook.coordination.booking;

import java.util.LinkedHashMap;
import java.util.Map;
import org.shallothook.coordination.message.PeerMessage;
import org.shallothook.state.request.AttemptId;

/**
 * A call that waits for its claim or is running, with all attempts that wait for its response.
 *
 * <p>Invariant: {@link #isRunning} is never reset once set, and then no other process may make the
 * call. Not thread-safe.
 */
final class ClaimedCall {
  final PeerMessage.Call call;
  final String scope;
  final String digest;
  final String claim;
  final String stream;

  /** Attempts that wait for the response, each with the router that sent it. */
  final Map<AttemptId, String> waiters = new LinkedHashMap<>();

  /** When the call fails unless its claim is decided, in microseconds since the epoch. */
  final long giveUpMicros;

  /** Whether the call was dispatched to the service. */
  boolean isRunning;

  /** Whether another claim holds the scope and its outcome is not known. */
  boolean isHeldElsewhere;

  /** Whether a request for the claim was sent, so that the claim may be in the log. */
  boolean hasRequestedClaim;

  long nextRequestMicros;
  int unansweredRequests;

  ClaimedCall(
      PeerMessage.Call call,
      String scope,
      String digest,
      String claim,
      String stream,
      long giveUpMicros) {
    this.call = call;
    this.scope = scope;
    this.digest = digest;
    this.claim = claim;
    this.stream = stream;
    this.giveUpMicros = giveUpMicros;
  }
}
