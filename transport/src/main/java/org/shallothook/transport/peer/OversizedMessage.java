package org.shallothook.transport.peer;

import java.util.Optional;
import org.shallothook.coordination.message.PeerMessage;
import org.shallothook.state.request.AttemptId;
import org.shallothook.state.request.Outcome;
import org.shallothook.state.request.RefusalReason;

/**
 * Makes the local reply to a message that exceeds the frame limit and is therefore not sent.
 *
 * <p>Stateless and thread-safe.
 */
final class OversizedMessage {
  private OversizedMessage() {}

  /** Returns the failure of a submit or a call; empty for other messages, which are dropped. */
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
        "The request exceeds the frame size limit between instances.",
        0);
  }
}
