package org.shallothook.transport.peer;

import java.util.Optional;
import org.shallothook.coordination.message.PeerMessage;
import org.shallothook.state.request.AttemptId;
import org.shallothook.state.request.Outcome;
import org.shallothook.state.request.RefusalReason;

/**
 * Answers messages that are too large to be sent, in place of the peer.
 *
 * <p>Stateless and thread-safe.
 */
final class OversizedMessage {
  private OversizedMessage() {}

  /** Returns the answer to a message that opens work; empty for every other. */
  static Optional<PeerMessage> refusal(PeerMessage message) {
    if (message instanceof PeerMessage.Submit submit) {
      return Optional.of(failed(submit.attempt()));
    }
    if (message instanceof PeerMessage.Call call) {
      return Optional.of(failed(call.attempt()));
    }
    return Optional.empty();
  }

  private static PeerMessage failed(AttemptId attempt) {
    return new PeerMessage.Failed(
        attempt,
        RefusalReason.BODY_TOO_LARGE,
        Outcome.NOT_RUN,
        "The request is too large for a message between processes.",
        0);
  }
}
