package org.shallothook.coordination.booking;

import java.util.LinkedHashMap;
import java.util.Map;
import org.shallothook.coordination.message.PeerMessage;
import org.shallothook.state.request.AttemptId;

/**
 * A call that waits for its claim or runs, with all attempts that wait for its answer.
 *
 * <p>Invariant: once {@link #isRunning} holds it stays so, and no other process may make the call.
 * Not thread-safe.
 */
final class ClaimedCall {
  final PeerMessage.Call call;
  final String scope;
  final String digest;
  final String claim;
  final String stream;

  /** Routers by attempt that waits for the answer. */
  final Map<AttemptId, String> waiters = new LinkedHashMap<>();

  /** When to give the claim up, in microseconds since the epoch. */
  final long giveUpMicros;

  boolean isRunning;
  boolean isHeldElsewhere;
  boolean hasAsked;
  long nextAskMicros;
  int unansweredQuestions;

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
