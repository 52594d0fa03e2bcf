package org.shallothook.protocol.peer;

import java.util.Optional;
import org.shallothook.coordination.message.ClaimVerdict;
import org.shallothook.coordination.message.PeerMessage;
import org.shallothook.protocol.generated.ClaimAnswerFrame;
import org.shallothook.protocol.generated.ClaimEndRecordedFrame;
import org.shallothook.protocol.generated.ClaimEndedFrame;
import org.shallothook.protocol.generated.ClaimRequestFrame;
import org.shallothook.protocol.generated.EnvelopeFrame;
import org.shallothook.protocol.generated.ServiceOutcomeFrame;
import org.shallothook.state.booking.ServiceOutcome;

/**
 * Conversions of the messages about claims, which sidecars exchange.
 *
 * <p>Stateless and thread-safe.
 */
final class ClaimMapping {
  private ClaimMapping() {}

  /** Encodes a message about claims; returns false without a change for any other message. */
  static boolean encode(PeerMessage message, EnvelopeFrame.Builder frame) {
    if (message instanceof PeerMessage.ClaimRequest request) {
      frame.setClaimRequest(request(request));
    } else if (message instanceof PeerMessage.ClaimAnswer answer) {
      frame.setClaimAnswer(answer(answer));
    } else if (message instanceof PeerMessage.ClaimEnded ended) {
      frame.setClaimEnded(ended(ended));
    } else if (message instanceof PeerMessage.ClaimEndRecorded recorded) {
      frame.setClaimEndRecorded(ClaimEndRecordedFrame.newBuilder().setClaim(recorded.claim()));
    } else {
      return false;
    }
    return true;
  }

  static PeerMessage request(ClaimRequestFrame frame) {
    Optional<Long> created =
        frame.hasKeyCreatedAtMicros()
            ? Optional.of(
                FieldMapping.requireNonNegative(
                    "claim_request.key_created_at_micros", frame.getKeyCreatedAtMicros()))
            : Optional.empty();
    return new PeerMessage.ClaimRequest(
        frame.getScope(),
        frame.getDigest(),
        frame.getClaim(),
        created,
        FieldMapping.requireNonNegative(
            "claim_request.deadline_micros", frame.getDeadlineMicros()));
  }

  static PeerMessage answer(ClaimAnswerFrame frame) {
    return new PeerMessage.ClaimAnswer(
        frame.getClaim(),
        FieldMapping.toEnumConstant(ClaimVerdict.class, "claim_answer.verdict", frame.getVerdict()),
        FieldMapping.requireNonNegative("claim_answer.offset", frame.getOffset()),
        frame.hasOutcome() ? Optional.of(outcome(frame.getOutcome())) : Optional.empty());
  }

  static PeerMessage ended(ClaimEndedFrame frame) {
    return new PeerMessage.ClaimEnded(
        frame.getScope(),
        frame.getClaim(),
        frame.hasOutcome() ? Optional.of(outcome(frame.getOutcome())) : Optional.empty());
  }

  private static ClaimRequestFrame.Builder request(PeerMessage.ClaimRequest request) {
    ClaimRequestFrame.Builder frame =
        ClaimRequestFrame.newBuilder()
            .setScope(request.scope())
            .setDigest(request.digest())
            .setClaim(request.claim())
            .setDeadlineMicros(request.deadlineMicros());
    request.keyCreatedAtMicros().ifPresent(frame::setKeyCreatedAtMicros);
    return frame;
  }

  private static ClaimAnswerFrame.Builder answer(PeerMessage.ClaimAnswer answer) {
    ClaimAnswerFrame.Builder frame =
        ClaimAnswerFrame.newBuilder()
            .setClaim(answer.claim())
            .setVerdict(answer.verdict().name())
            .setOffset(answer.offset());
    answer.outcome().ifPresent(outcome -> frame.setOutcome(outcome(outcome)));
    return frame;
  }

  private static ClaimEndedFrame.Builder ended(PeerMessage.ClaimEnded ended) {
    ClaimEndedFrame.Builder frame =
        ClaimEndedFrame.newBuilder().setScope(ended.scope()).setClaim(ended.claim());
    ended.outcome().ifPresent(outcome -> frame.setOutcome(outcome(outcome)));
    return frame;
  }

  private static ServiceOutcomeFrame.Builder outcome(ServiceOutcome outcome) {
    ServiceOutcomeFrame.Builder frame =
        ServiceOutcomeFrame.newBuilder()
            .setStatus(outcome.status())
            .setContentType(outcome.contentType());
    outcome.body().ifPresent(frame::setBody);
    return frame;
  }

  private static ServiceOutcome outcome(ServiceOutcomeFrame frame) {
    return new ServiceOutcome(
        FieldMapping.requireNonNegative("outcome.status", frame.getStatus()),
        frame.getContentType(),
        frame.hasBody() ? Optional.of(frame.getBody()) : Optional.empty());
  }
}
