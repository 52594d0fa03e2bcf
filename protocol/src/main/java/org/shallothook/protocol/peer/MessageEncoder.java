package org.shallothook.protocol.peer;

import com.google.protobuf.ByteString;
import com.google.protobuf.UnsafeByteOperations;
import java.nio.charset.StandardCharsets;
import org.shallothook.coordination.message.PeerMessage;
import org.shallothook.protocol.generated.CallAnswerFrame;
import org.shallothook.protocol.generated.CallFrame;
import org.shallothook.protocol.generated.CancelFrame;
import org.shallothook.protocol.generated.ConfigurationRecordsFrame;
import org.shallothook.protocol.generated.ConfigurationRequestFrame;
import org.shallothook.protocol.generated.ConsumedFrame;
import org.shallothook.protocol.generated.CrashClearedFrame;
import org.shallothook.protocol.generated.CrashSeenFrame;
import org.shallothook.protocol.generated.EndedFrame;
import org.shallothook.protocol.generated.EnvelopeFrame;
import org.shallothook.protocol.generated.FailedFrame;
import org.shallothook.protocol.generated.HelloFrame;
import org.shallothook.protocol.generated.OfferFrame;
import org.shallothook.protocol.generated.OfferReplyFrame;
import org.shallothook.protocol.generated.OpeningsHeldFrame;
import org.shallothook.protocol.generated.QuarantineFrame;
import org.shallothook.protocol.generated.QuarantinedKeyFrame;
import org.shallothook.protocol.generated.QuarantinesFrame;
import org.shallothook.protocol.generated.SidecarStatusFrame;
import org.shallothook.protocol.generated.SubmitFrame;
import org.shallothook.protocol.generated.TokensFrame;
import org.shallothook.protocol.generated.UpstreamLimitFrame;
import org.shallothook.state.membership.EngineRole;

/**
 * Converts typed messages to protobuf frames.
 *
 * <p>Stateless and thread-safe.
 */
final class MessageEncoder {
  private MessageEncoder() {}

  static void encode(PeerMessage message, EnvelopeFrame.Builder frame) {
    if (message instanceof PeerMessage.Hello hello) {
      frame.setHello(
          HelloFrame.newBuilder()
              .setRole(hello.role().name())
              .setFailureDomain(hello.failureDomain()));
    } else if (message instanceof PeerMessage.Offer offer) {
      frame.setOffer(offer(offer));
    } else if (message instanceof PeerMessage.OfferReply reply) {
      frame.setOfferReply(offerReply(reply));
    } else if (message instanceof PeerMessage.Submit submit) {
      frame.setSubmit(submit(submit));
    } else if (message instanceof PeerMessage.Tokens tokens) {
      frame.setTokens(tokens(tokens));
    } else if (message instanceof PeerMessage.Ended ended) {
      frame.setEnded(ended(ended));
    } else if (message instanceof PeerMessage.Failed failed) {
      frame.setFailed(failed(failed));
    } else if (message instanceof PeerMessage.Cancel cancel) {
      frame.setCancel(CancelFrame.newBuilder().setAttempt(FieldMapping.toFrame(cancel.attempt())));
    } else if (message instanceof PeerMessage.Consumed consumed) {
      frame.setConsumed(
          ConsumedFrame.newBuilder()
              .setAttempt(FieldMapping.toFrame(consumed.attempt()))
              .setPosition(consumed.position()));
    } else if (message instanceof PeerMessage.Call call) {
      frame.setCall(call(call));
    } else if (message instanceof PeerMessage.CallAnswer answer) {
      frame.setCallAnswer(callAnswer(answer));
    } else if (message instanceof PeerMessage.SidecarStatus status) {
      frame.setSidecarStatus(sidecarStatus(status));
    } else if (message instanceof PeerMessage.ConfigurationRecords records) {
      frame.setConfigurationRecords(configurationRecords(records));
    } else if (message instanceof PeerMessage.ConfigurationRequest request) {
      frame.setConfigurationRequest(
          ConfigurationRequestFrame.newBuilder()
              .setFromOffset(request.fromOffset())
              .setEra(request.era()));
    } else if (message instanceof PeerMessage.Quarantine quarantine) {
      frame.setQuarantine(
          QuarantineFrame.newBuilder()
              .setFingerprint(quarantine.fingerprint())
              .setUntilMicros(quarantine.untilMicros()));
    } else if (message instanceof PeerMessage.OpeningsHeld held) {
      frame.setOpeningsHeld(
          OpeningsHeldFrame.newBuilder()
              .setUpstream(held.upstream())
              .addAllOpenings(held.openings()));
    } else if (message instanceof PeerMessage.CrashSeen seen) {
      frame.setCrashSeen(
          CrashSeenFrame.newBuilder()
              .setContent(seen.content())
              .addAllParts(seen.parts())
              .setCrash(seen.crash()));
    } else if (message instanceof PeerMessage.CrashCleared cleared) {
      frame.setCrashCleared(CrashClearedFrame.newBuilder().addAllKeys(cleared.keys()));
    } else if (message instanceof PeerMessage.Quarantines quarantines) {
      frame.setQuarantines(quarantines(quarantines));
    } else if (message instanceof PeerMessage.UpstreamLimit limit) {
      UpstreamLimitFrame.Builder builder =
          UpstreamLimitFrame.newBuilder()
              .setUpstream(limit.upstream())
              .setIncarnation(limit.incarnation());
      limit.requestsPerSecond().ifPresent(builder::setRequestsPerSecond);
      frame.setUpstreamLimit(builder);
    } else if (!ClaimMapping.encode(message, frame) && !LoadMapping.encode(message, frame)) {
      throw new IllegalArgumentException("No frame is defined for " + message.getClass().getName());
    }
  }

  private static QuarantinesFrame.Builder quarantines(PeerMessage.Quarantines quarantines) {
    QuarantinesFrame.Builder frame = QuarantinesFrame.newBuilder();
    for (PeerMessage.QuarantinedKey quarantined : quarantines.quarantined()) {
      frame.addQuarantined(
          QuarantinedKeyFrame.newBuilder()
              .setKey(quarantined.key())
              .setRemainingMicros(quarantined.remainingMicros()));
    }
    return frame;
  }

  private static OfferFrame.Builder offer(PeerMessage.Offer offer) {
    OfferFrame.Builder frame = OfferFrame.newBuilder();
    if (FieldMapping.areAbbreviated(offer.keys())) {
      frame.setAbbreviatedKeys(FieldMapping.toAbbreviatedBytes(offer.keys()));
    } else {
      frame.setKeys(FieldMapping.toBytes(offer.keys()));
    }
    return frame
        .setAttempt(FieldMapping.toFrame(offer.attempt()))
        .setTeam(offer.identity().team())
        .setModelVersion(FieldMapping.toFrame(offer.identity().modelVersion()))
        .setPriority(offer.priority().name())
        .setPromptBytes(offer.promptBytes())
        .setMaximumOutputTokens(offer.maximumOutputTokens())
        .setDeadlineMicros(offer.deadlineMicros())
        .setResumePosition(offer.resumePosition())
        .setFingerprint(offer.fingerprint())
        .setIsSuspect(offer.isSuspect())
        .setRank(offer.rank());
  }

  private static OfferReplyFrame.Builder offerReply(PeerMessage.OfferReply reply) {
    return OfferReplyFrame.newBuilder()
        .setAttempt(FieldMapping.toFrame(reply.attempt()))
        .setRefusal(reply.refusal().map(Enum::name).orElse(""))
        .setHint(FieldMapping.toFrame(reply.hint()))
        .setValidUntilMicros(reply.validUntilMicros());
  }

  private static SubmitFrame.Builder submit(PeerMessage.Submit submit) {
    return SubmitFrame.newBuilder()
        .setAttempt(FieldMapping.toFrame(submit.attempt()))
        .setPromptBytes(encodeUtf8(submit.prompt()))
        .setDeliveredText(submit.deliveredText());
  }

  /** Encodes a long string in one pass; the string setter iterates over all characters twice. */
  private static ByteString encodeUtf8(String text) {
    return UnsafeByteOperations.unsafeWrap(text.getBytes(StandardCharsets.UTF_8));
  }

  private static TokensFrame.Builder tokens(PeerMessage.Tokens tokens) {
    return TokensFrame.newBuilder()
        .setAttempt(FieldMapping.toFrame(tokens.attempt()))
        .setPosition(tokens.position())
        .setCount(tokens.count())
        .setText(tokens.text());
  }

  private static EndedFrame.Builder ended(PeerMessage.Ended ended) {
    return EndedFrame.newBuilder()
        .setAttempt(FieldMapping.toFrame(ended.attempt()))
        .setPosition(ended.position())
        .setFinishReason(ended.finishReason())
        .setCachedBlocks(ended.cachedBlocks());
  }

  private static FailedFrame.Builder failed(PeerMessage.Failed failed) {
    return FailedFrame.newBuilder()
        .setAttempt(FieldMapping.toFrame(failed.attempt()))
        .setReason(failed.reason().name())
        .setOutcome(failed.outcome().name())
        .setDetail(failed.detail())
        .setRetryAtMicros(failed.retryAtMicros())
        .setCrashRole(failed.crashRole().name());
  }

  private static CallFrame.Builder call(PeerMessage.Call call) {
    CallFrame.Builder frame =
        CallFrame.newBuilder()
            .setAttempt(FieldMapping.toFrame(call.attempt()))
            .setTeam(call.team())
            .setService(call.service())
            .setPath(call.path())
            .setContentType(call.contentType())
            .setBody(call.body())
            .setIsRepeatable(call.isRepeatable())
            .setChecksFencing(call.checksFencing())
            .setDeadlineMicros(call.deadlineMicros());
    call.idempotencyKey().ifPresent(frame::setIdempotencyKey);
    return frame;
  }

  private static CallAnswerFrame.Builder callAnswer(PeerMessage.CallAnswer answer) {
    return CallAnswerFrame.newBuilder()
        .setAttempt(FieldMapping.toFrame(answer.attempt()))
        .setStatus(answer.status())
        .setContentType(answer.contentType())
        .setBody(answer.body());
  }

  private static SidecarStatusFrame.Builder sidecarStatus(PeerMessage.SidecarStatus status) {
    return SidecarStatusFrame.newBuilder()
        .setUpstream(status.upstream())
        .setEngineIncarnation(status.engineIncarnation())
        .addAllReady(status.ready().stream().map(FieldMapping::toFrame).toList())
        .setIsLeaving(status.isLeaving())
        .setQueueDelayMicros(status.queueDelayMicros())
        .setRole(status.role() == EngineRole.MIXED ? "" : status.role().code())
        .addAllReadySinceMicros(status.readySinceMicros());
  }

  private static ConfigurationRecordsFrame.Builder configurationRecords(
      PeerMessage.ConfigurationRecords records) {
    return ConfigurationRecordsFrame.newBuilder()
        .addAllRecords(records.records().stream().map(FieldMapping::toFrame).toList())
        .setEra(records.era());
  }
}
