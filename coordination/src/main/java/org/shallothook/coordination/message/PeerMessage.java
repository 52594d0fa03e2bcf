package org.shallothook.coordination.message;

import java.util.List;
import java.util.Optional;
import org.shallothook.state.booking.ServiceOutcome;
import org.shallothook.state.cache.BlockKey;
import org.shallothook.state.cache.CacheIdentity;
import org.shallothook.state.cache.ModelVersion;
import org.shallothook.state.configuration.PriorityClass;
import org.shallothook.state.log.LogRecord;
import org.shallothook.state.membership.EngineRole;
import org.shallothook.state.membership.InstanceRole;
import org.shallothook.state.request.AttemptId;
import org.shallothook.state.request.Outcome;
import org.shallothook.state.request.RefusalReason;

/**
 * A message between two processes of the system.
 *
 * <p>A request to a model goes: {@link Offer}, {@link OfferReply}, {@link Submit}, any number of
 * {@link Tokens}, and {@link Ended} or {@link Failed}. A call to a service goes: {@link Call}, then
 * {@link CallAnswer} or {@link Failed}.
 *
 * <p>Invariant: every message about a request names its attempt. All messages are immutable and
 * thread-safe.
 */
public sealed interface PeerMessage {

  /**
   * First message on a connection, in both directions.
   *
   * @param role role of the sender
   * @param failureDomain failure domain of the sender
   */
  record Hello(InstanceRole role, String failureDomain) implements PeerMessage {}

  /**
   * Asks a sidecar to reserve a place for a request, without its prompt.
   *
   * @param attempt attempt that the offer opens
   * @param identity scope of cache reuse, with the model version that must answer
   * @param priority class of service
   * @param keys keys of the prompt's whole blocks or the sample of them that {@link
   *     org.shallothook.state.cache.BlockKeySample} takes, whole or all abbreviated
   * @param promptBytes size of the prompt
   * @param maximumOutputTokens greatest number of tokens to generate
   * @param deadlineMicros when the first token is of no more use, in microseconds since the epoch
   * @param resumePosition number of tokens that earlier attempts have delivered
   * @param fingerprint digest of team and content, for crash suspects
   * @param isSuspect whether the request must run alone on its engine
   * @param rank rendezvous rank of the upstream for this prompt, 0 for the home
   */
  record Offer(
      AttemptId attempt,
      CacheIdentity identity,
      PriorityClass priority,
      List<BlockKey> keys,
      int promptBytes,
      int maximumOutputTokens,
      long deadlineMicros,
      int resumePosition,
      String fingerprint,
      boolean isSuspect,
      int rank)
      implements PeerMessage {
    public Offer {
      keys = List.copyOf(keys);
    }

    /** Returns the same offer with other keys. */
    public Offer withKeys(List<BlockKey> others) {
      return new Offer(
          attempt,
          identity,
          priority,
          others,
          promptBytes,
          maximumOutputTokens,
          deadlineMicros,
          resumePosition,
          fingerprint,
          isSuspect,
          rank);
    }
  }

  /**
   * Answers an offer.
   *
   * @param attempt attempt of the offer
   * @param refusal why the place was refused; empty when it is reserved
   * @param hint state of the upstream
   * @param validUntilMicros end of the reservation, or when to come back after a refusal
   */
  record OfferReply(
      AttemptId attempt, Optional<RefusalReason> refusal, Hint hint, long validUntilMicros)
      implements PeerMessage {}

  /**
   * Sends the prompt for a reserved place.
   *
   * @param attempt attempt with a reservation
   * @param prompt rendered prompt
   * @param deliveredText text that earlier attempts have delivered; empty on a first attempt
   */
  record Submit(AttemptId attempt, String prompt, String deliveredText) implements PeerMessage {}

  /**
   * Carries generated tokens.
   *
   * @param attempt attempt that generated them
   * @param position number of tokens of the answer before these, over all attempts
   * @param count number of tokens
   * @param text their text
   */
  record Tokens(AttemptId attempt, int position, int count, String text) implements PeerMessage {}

  /**
   * Ends a complete answer.
   *
   * @param attempt attempt that completed
   * @param position number of tokens in the whole answer
   * @param finishReason the engine's word for why it ended, {@code stop} or {@code length}
   * @param cachedBlocks leading prompt blocks that the engine took from its cache
   */
  record Ended(AttemptId attempt, int position, String finishReason, int cachedBlocks)
      implements PeerMessage {}

  /**
   * Ends an attempt without a complete answer.
   *
   * @param attempt attempt that failed
   * @param reason why it failed
   * @param outcome whether this attempt can have reached the upstream
   * @param detail what was found
   * @param retryAtMicros when to come back, in microseconds since the epoch; 0 for at once
   * @param crashRole part of the attempt in the loss of its engine
   */
  record Failed(
      AttemptId attempt,
      RefusalReason reason,
      Outcome outcome,
      String detail,
      long retryAtMicros,
      CrashRole crashRole)
      implements PeerMessage {

    /** Creates a failure in which no engine was lost. */
    public Failed(
        AttemptId attempt,
        RefusalReason reason,
        Outcome outcome,
        String detail,
        long retryAtMicros) {
      this(attempt, reason, outcome, detail, retryAtMicros, CrashRole.NONE);
    }
  }

  /**
   * Gives up an attempt or its reservation.
   *
   * @param attempt attempt to give up
   */
  record Cancel(AttemptId attempt) implements PeerMessage {}

  /**
   * Reports how far the caller has read, so that the sender may go on.
   *
   * @param attempt attempt being streamed
   * @param position number of tokens that the caller's connection has taken
   */
  record Consumed(AttemptId attempt, int position) implements PeerMessage {}

  /**
   * Calls a plain service.
   *
   * @param attempt attempt of the call
   * @param team team on whose behalf it is made
   * @param service name of the service
   * @param path path below the service
   * @param idempotencyKey caller's key; present for calls that may not be repeated
   * @param contentType content type of the body
   * @param body body of the call
   * @param isRepeatable whether the call may be repeated
   * @param checksFencing whether the service refuses old fencing numbers
   * @param deadlineMicros when the call must not be started any more
   */
  record Call(
      AttemptId attempt,
      String team,
      String service,
      String path,
      Optional<String> idempotencyKey,
      String contentType,
      String body,
      boolean isRepeatable,
      boolean checksFencing,
      long deadlineMicros)
      implements PeerMessage {}

  /**
   * Answers a call with what the service said.
   *
   * @param attempt attempt of the call
   * @param status HTTP status of the service
   * @param contentType content type of the body
   * @param body body of the answer
   */
  record CallAnswer(AttemptId attempt, int status, String contentType, String body)
      implements PeerMessage {}

  /**
   * State of an upstream, sent to every connected router when it changes.
   *
   * @param upstream name of the upstream
   * @param engineIncarnation incarnation of the engine or service
   * @param ready model versions that can serve now
   * @param isLeaving whether no new work is taken
   * @param queueDelayMicros expected time until new work would start, in microseconds
   * @param role role that the engine reports; mixed for a service or an engine without roles
   * @param readySinceMicros since when each of the ready versions can serve, in their order and in
   *     microseconds since the epoch; empty where the sender does not say
   */
  record SidecarStatus(
      String upstream,
      String engineIncarnation,
      List<ModelVersion> ready,
      boolean isLeaving,
      long queueDelayMicros,
      EngineRole role,
      List<Long> readySinceMicros)
      implements PeerMessage {
    public SidecarStatus {
      ready = List.copyOf(ready);
      readySinceMicros = List.copyOf(readySinceMicros);
    }

    /** Creates the state of an upstream without roles that does not say since when. */
    public SidecarStatus(
        String upstream,
        String engineIncarnation,
        List<ModelVersion> ready,
        boolean isLeaving,
        long queueDelayMicros) {
      this(
          upstream,
          engineIncarnation,
          ready,
          isLeaving,
          queueDelayMicros,
          EngineRole.MIXED,
          List.of());
    }
  }

  /**
   * Brings a peer that is behind up to the sender's configuration.
   *
   * @param records consecutive records of the configuration stream
   */
  record ConfigurationRecords(List<LogRecord> records) implements PeerMessage {
    public ConfigurationRecords {
      records = List.copyOf(records);
    }
  }

  /**
   * Asks a peer for configuration records.
   *
   * @param fromOffset first offset wanted
   */
  record ConfigurationRequest(long fromOffset) implements PeerMessage {}

  /**
   * Tells of a request that may not run until a deadline.
   *
   * @param fingerprint digest of team and content
   * @param untilMicros end of the quarantine, in microseconds since the epoch
   */
  record Quarantine(String fingerprint, long untilMicros) implements PeerMessage {}

  /**
   * Tells that an upstream reads, or has read, prompts with some openings.
   *
   * @param upstream name of the upstream
   * @param openings hashes of the openings, in the scope in which they may be shared
   */
  record OpeningsHeld(String upstream, List<Long> openings) implements PeerMessage {
    public OpeningsHeld {
      openings = List.copyOf(openings);
    }
  }

  /**
   * Tells that a request was at an upstream that crashed.
   *
   * @param content hash of the request's content
   * @param crash name of the crash, the same wherever it is told
   */
  record CrashSeen(long content, String crash) implements PeerMessage {}

  /**
   * Asks the keeper of a partition to claim the right to make a call, or what became of it.
   *
   * @param scope team, service and idempotency key
   * @param digest digest of the payload
   * @param claim identifier of the claim; the same in every repeat of the question
   * @param keyCreatedAtMicros when the idempotency key was made, where it proves that
   * @param deadlineMicros when the claim is of no more use and must not be appended any more
   */
  record ClaimRequest(
      String scope,
      String digest,
      String claim,
      Optional<Long> keyCreatedAtMicros,
      long deadlineMicros)
      implements PeerMessage {}

  /**
   * Answers a claim request.
   *
   * @param claim identifier of the claim
   * @param verdict what the log says
   * @param offset offset of the claim that counts, used as fencing number; 0 where there is none
   * @param outcome what the service answered; present for {@link ClaimVerdict#FINISHED}
   */
  record ClaimAnswer(
      String claim, ClaimVerdict verdict, long offset, Optional<ServiceOutcome> outcome)
      implements PeerMessage {}

  /**
   * Tells the keeper of a partition how a claim ended.
   *
   * @param scope scope of the claim
   * @param claim identifier of the claim
   * @param outcome what the service answered; empty where the call was not made and never will be
   */
  record ClaimEnded(String scope, String claim, Optional<ServiceOutcome> outcome)
      implements PeerMessage {}

  /**
   * Tells the claimant that the end of its claim is in the log.
   *
   * @param claim identifier of the claim
   */
  record ClaimEndRecorded(String claim) implements PeerMessage {}
}
