package org.shallothook.protocol.peer;

import java.util.List;
import java.util.Optional;
import org.shallothook.coordination.message.CrashRole;
import org.shallothook.coordination.message.PeerMessage;
import org.shallothook.protocol.generated.CallAnswerFrame;
import org.shallothook.protocol.generated.CallFrame;
import org.shallothook.protocol.generated.EndedFrame;
import org.shallothook.protocol.generated.EnvelopeFrame;
import org.shallothook.protocol.generated.FailedFrame;
import org.shallothook.protocol.generated.HelloFrame;
import org.shallothook.protocol.generated.OfferFrame;
import org.shallothook.protocol.generated.OfferReplyFrame;
import org.shallothook.protocol.generated.QuarantinedKeyFrame;
import org.shallothook.protocol.generated.SidecarStatusFrame;
import org.shallothook.protocol.generated.SubmitFrame;
import org.shallothook.protocol.generated.TokensFrame;
import org.shallothook.protocol.generated.UpstreamLimitFrame;
import org.shallothook.state.cache.BlockKey;
import org.shallothook.state.cache.CacheIdentity;
import org.shallothook.state.configuration.PriorityClass;
import org.shallothook.state.membership.EngineRole;
import org.shallothook.state.membership.InstanceRole;
import org.shallothook.state.request.Outcome;
import org.shallothook.state.request.RefusalReason;

/**
 * Converts protobuf frames to typed messages.
 *
 * <p>Throws {@link InvalidFieldException} for unknown or invalid values. Stateless and thread-safe.
 */
final class MessageDecoder {
  private MessageDecoder() {}

  /** Returns the message of a frame, or empty if the frame has no known message. */
  static Optional<PeerMessage> decode(EnvelopeFrame frame) {
    return switch (frame.getMessageCase()) {
      case HELLO -> Optional.of(hello(frame.getHello()));
      case OFFER -> Optional.of(offer(frame.getOffer()));
      case OFFER_REPLY -> Optional.of(offerReply(frame.getOfferReply()));
      case SUBMIT -> Optional.of(submit(frame.getSubmit()));
      case TOKENS -> Optional.of(tokens(frame.getTokens()));
      case ENDED -> Optional.of(ended(frame.getEnded()));
      case FAILED -> Optional.of(failed(frame.getFailed()));
      case CANCEL ->
          Optional.of(
              new PeerMessage.Cancel(FieldMapping.toAttempt(frame.getCancel().getAttempt())));
      case CONSUMED ->
          Optional.of(
              new PeerMessage.Consumed(
                  FieldMapping.toAttempt(frame.getConsumed().getAttempt()),
                  FieldMapping.requireNonNegative(
                      "consumed.position", frame.getConsumed().getPosition())));
      case CALL -> Optional.of(call(frame.getCall()));
      case CALL_ANSWER -> Optional.of(callAnswer(frame.getCallAnswer()));
      case SIDECAR_STATUS -> Optional.of(sidecarStatus(frame.getSidecarStatus()));
      case CONFIGURATION_RECORDS ->
          Optional.of(
              new PeerMessage.ConfigurationRecords(
                  frame.getConfigurationRecords().getRecordsList().stream()
                      .map(FieldMapping::toLogRecord)
                      .toList(),
                  FieldMapping.requireNonNegative(
                      "configuration_records.era", frame.getConfigurationRecords().getEra())));
      case CONFIGURATION_REQUEST ->
          Optional.of(
              new PeerMessage.ConfigurationRequest(
                  FieldMapping.requireNonNegative(
                      "configuration_request.from_offset",
                      frame.getConfigurationRequest().getFromOffset()),
                  FieldMapping.requireNonNegative(
                      "configuration_request.era", frame.getConfigurationRequest().getEra())));
      case QUARANTINE ->
          Optional.of(
              new PeerMessage.Quarantine(
                  frame.getQuarantine().getFingerprint(),
                  FieldMapping.requireNonNegative(
                      "quarantine.until_micros", frame.getQuarantine().getUntilMicros())));
      case OPENINGS_HELD ->
          Optional.of(
              new PeerMessage.OpeningsHeld(
                  frame.getOpeningsHeld().getUpstream(),
                  frame.getOpeningsHeld().getOpeningsList()));
      case CRASH_SEEN ->
          Optional.of(
              new PeerMessage.CrashSeen(
                  frame.getCrashSeen().getContent(),
                  frame.getCrashSeen().getPartsList(),
                  frame.getCrashSeen().getCrash()));
      case CRASH_CLEARED ->
          Optional.of(new PeerMessage.CrashCleared(frame.getCrashCleared().getKeysList()));
      case QUARANTINES ->
          Optional.of(
              new PeerMessage.Quarantines(
                  frame.getQuarantines().getQuarantinedList().stream()
                      .map(MessageDecoder::quarantinedKey)
                      .toList()));
      case UPSTREAM_LIMIT -> Optional.of(upstreamLimit(frame.getUpstreamLimit()));
      case TEAM_USE -> Optional.of(LoadMapping.use(frame.getTeamUse()));
      case UPSTREAM_SPEEDS -> Optional.of(LoadMapping.speeds(frame.getUpstreamSpeeds()));
      case UPSTREAM_PACE -> Optional.of(LoadMapping.pace(frame.getUpstreamPace()));
      case CLAIM_REQUEST -> Optional.of(ClaimMapping.request(frame.getClaimRequest()));
      case CLAIM_ANSWER -> Optional.of(ClaimMapping.answer(frame.getClaimAnswer()));
      case CLAIM_ENDED -> Optional.of(ClaimMapping.ended(frame.getClaimEnded()));
      case CLAIM_END_RECORDED ->
          Optional.of(new PeerMessage.ClaimEndRecorded(frame.getClaimEndRecorded().getClaim()));
      case MESSAGE_NOT_SET -> Optional.empty();
    };
  }

  private static PeerMessage upstreamLimit(UpstreamLimitFrame frame) {
    return new PeerMessage.UpstreamLimit(
        frame.getUpstream(),
        frame.getIncarnation(),
        frame.hasRequestsPerSecond()
            ? Optional.of(
                FieldMapping.requireNonNegative(
                    "upstream_limit.requests_per_second", frame.getRequestsPerSecond()))
            : Optional.empty());
  }

  private static PeerMessage.QuarantinedKey quarantinedKey(QuarantinedKeyFrame frame) {
    return new PeerMessage.QuarantinedKey(
        frame.getKey(),
        FieldMapping.requireNonNegative(
            "quarantines.remaining_micros", frame.getRemainingMicros()));
  }

  private static PeerMessage hello(HelloFrame frame) {
    return new PeerMessage.Hello(
        FieldMapping.toEnumConstant(InstanceRole.class, "hello.role", frame.getRole()),
        frame.getFailureDomain());
  }

  private static PeerMessage offer(OfferFrame frame) {
    return new PeerMessage.Offer(
        FieldMapping.toAttempt(frame.getAttempt()),
        new CacheIdentity(frame.getTeam(), FieldMapping.toModelVersion(frame.getModelVersion())),
        FieldMapping.toEnumConstant(PriorityClass.class, "offer.priority", frame.getPriority()),
        offeredKeys(frame),
        FieldMapping.requireNonNegative("offer.prompt_bytes", frame.getPromptBytes()),
        FieldMapping.requireNonNegative(
            "offer.maximum_output_tokens", frame.getMaximumOutputTokens()),
        FieldMapping.requireNonNegative("offer.deadline_micros", frame.getDeadlineMicros()),
        FieldMapping.requireNonNegative("offer.resume_position", frame.getResumePosition()),
        frame.getFingerprint(),
        frame.getIsSuspect(),
        FieldMapping.requireNonNegative("offer.rank", frame.getRank()));
  }

  private static List<BlockKey> offeredKeys(OfferFrame frame) {
    if (frame.getAbbreviatedKeys().isEmpty()) {
      return FieldMapping.toKeys(frame.getKeys());
    }
    if (!frame.getKeys().isEmpty()) {
      throw new InvalidFieldException("offer.keys", "whole and abbreviated keys");
    }
    return FieldMapping.toAbbreviatedKeys(frame.getAbbreviatedKeys());
  }

  private static PeerMessage offerReply(OfferReplyFrame frame) {
    Optional<RefusalReason> refusal =
        frame.getRefusal().isEmpty()
            ? Optional.empty()
            : Optional.of(
                FieldMapping.toEnumConstant(
                    RefusalReason.class, "offer_reply.refusal", frame.getRefusal()));
    return new PeerMessage.OfferReply(
        FieldMapping.toAttempt(frame.getAttempt()),
        refusal,
        FieldMapping.toHint(frame.getHint()),
        FieldMapping.requireNonNegative(
            "offer_reply.valid_until_micros", frame.getValidUntilMicros()));
  }

  private static PeerMessage submit(SubmitFrame frame) {
    return new PeerMessage.Submit(
        FieldMapping.toAttempt(frame.getAttempt()), frame.getPrompt(), frame.getDeliveredText());
  }

  private static PeerMessage tokens(TokensFrame frame) {
    return new PeerMessage.Tokens(
        FieldMapping.toAttempt(frame.getAttempt()),
        FieldMapping.requireNonNegative("tokens.position", frame.getPosition()),
        FieldMapping.requireNonNegative("tokens.count", frame.getCount()),
        frame.getText());
  }

  private static PeerMessage ended(EndedFrame frame) {
    return new PeerMessage.Ended(
        FieldMapping.toAttempt(frame.getAttempt()),
        FieldMapping.requireNonNegative("ended.position", frame.getPosition()),
        frame.getFinishReason(),
        FieldMapping.requireNonNegative("ended.cached_blocks", frame.getCachedBlocks()));
  }

  private static PeerMessage failed(FailedFrame frame) {
    return new PeerMessage.Failed(
        FieldMapping.toAttempt(frame.getAttempt()),
        FieldMapping.toEnumConstant(RefusalReason.class, "failed.reason", frame.getReason()),
        FieldMapping.toEnumConstant(Outcome.class, "failed.outcome", frame.getOutcome()),
        frame.getDetail(),
        FieldMapping.requireNonNegative("failed.retry_at_micros", frame.getRetryAtMicros()),
        crashRole(frame.getCrashRole()));
  }

  private static CrashRole crashRole(String name) {
    return name.isEmpty()
        ? CrashRole.NONE
        : FieldMapping.toEnumConstant(CrashRole.class, "failed.crash_role", name);
  }

  private static PeerMessage call(CallFrame frame) {
    return new PeerMessage.Call(
        FieldMapping.toAttempt(frame.getAttempt()),
        frame.getTeam(),
        frame.getService(),
        frame.getPath(),
        frame.hasIdempotencyKey() ? Optional.of(frame.getIdempotencyKey()) : Optional.empty(),
        frame.getContentType(),
        frame.getBody(),
        frame.getIsRepeatable(),
        frame.getChecksFencing(),
        FieldMapping.requireNonNegative("call.deadline_micros", frame.getDeadlineMicros()));
  }

  private static PeerMessage callAnswer(CallAnswerFrame frame) {
    return new PeerMessage.CallAnswer(
        FieldMapping.toAttempt(frame.getAttempt()),
        FieldMapping.requireNonNegative("call_answer.status", frame.getStatus()),
        frame.getContentType(),
        frame.getBody());
  }

  private static PeerMessage sidecarStatus(SidecarStatusFrame frame) {
    return new PeerMessage.SidecarStatus(
        frame.getUpstream(),
        frame.getEngineIncarnation(),
        frame.getReadyList().stream().map(FieldMapping::toModelVersion).toList(),
        frame.getIsLeaving(),
        FieldMapping.requireNonNegative(
            "sidecar_status.queue_delay_micros", frame.getQueueDelayMicros()),
        EngineRole.of(frame.getRole()),
        frame.getReadySinceMicrosList());
  }
}
