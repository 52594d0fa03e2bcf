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
 * <p>A chat completion exchanges {@link Offer}, {@link OfferReply}, {@link Submit}, any number of
 * {@link Tokens}, and {@link Ended} or {@link Failed}. A call to a plain service exchanges {@link
 * Call}, then {@link CallAnswer} or {@link Failed}.
 *
 * <p>Invariant: every message that belongs to a request carries the identifier of its attempt. All
 * messages are immutable and thread-safe.
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
   * Asks a sidecar to reserve a place for a request. Carries block keys instead of the prompt.
   *
   * @param attempt attempt that the offer opens
   * @param identity scope of prefix cache reuse, with the model version that must serve the request
   * @param priority priority class of the request's team
   * @param keys keys of the prompt's whole blocks, or the sample of them that {@link
   *     org.shallothook.state.cache.BlockKeySample} selects; either all in full or all abbreviated
   * @param promptBytes size of the prompt, in bytes
   * @param maximumOutputTokens maximum number of tokens to generate
   * @param deadlineMicros deadline of the first token, in microseconds since the epoch
   * @param resumePosition number of tokens that earlier attempts have delivered to the caller
   * @param fingerprint digest of team and content, which identifies requests suspected of crashing
   *     engines
   * @param isSuspect whether the request must run alone on its engine
   * @param rank rendezvous rank of the upstream for this prompt; 0 for the home upstream
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

    /** Returns a copy of this offer with other keys. */
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
   * Replies to an offer.
   *
   * @param attempt attempt of the offer
   * @param refusal why the offer was refused; empty if a place is reserved
   * @param hint state of the upstream for this prompt
   * @param validUntilMicros end of the reservation or, after a refusal, the earliest time to retry,
   *     in microseconds since the epoch
   */
  record OfferReply(
      AttemptId attempt, Optional<RefusalReason> refusal, Hint hint, long validUntilMicros)
      implements PeerMessage {}

  /**
   * Sends the prompt to an upstream that has reserved a place.
   *
   * @param attempt attempt with a reservation
   * @param prompt rendered prompt
   * @param deliveredText text that earlier attempts have delivered to the caller; empty on a first
   *     attempt
   */
  record Submit(AttemptId attempt, String prompt, String deliveredText) implements PeerMessage {}

  /**
   * Carries generated tokens.
   *
   * @param attempt attempt that generated them
   * @param position number of tokens that precede these in the whole answer, over all attempts
   * @param count number of tokens
   * @param text their text
   */
  record Tokens(AttemptId attempt, int position, int count, String text) implements PeerMessage {}

  /**
   * Ends an attempt that generated the complete answer.
   *
   * @param attempt attempt that completed
   * @param position number of tokens in the whole answer
   * @param finishReason finish reason given by the engine, {@code stop} or {@code length}
   * @param cachedBlocks leading prompt blocks that the engine read from its prefix cache
   */
  record Ended(AttemptId attempt, int position, String finishReason, int cachedBlocks)
      implements PeerMessage {}

  /**
   * Ends an attempt without a complete answer.
   *
   * @param attempt attempt that failed
   * @param reason why it failed
   * @param outcome whether this attempt may have reached the upstream
   * @param detail description of the failure for operators
   * @param retryAtMicros earliest time to retry, in microseconds since the epoch; 0 for immediately
   * @param crashRole what the attempt was doing when its engine was lost
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
   * Cancels an attempt or its reservation.
   *
   * @param attempt attempt to cancel
   */
  record Cancel(AttemptId attempt) implements PeerMessage {}

  /**
   * Reports how many tokens the caller has consumed, so that the sender can apply flow control.
   *
   * @param attempt attempt being streamed
   * @param position number of tokens written to the caller's connection
   */
  record Consumed(AttemptId attempt, int position) implements PeerMessage {}

  /**
   * Calls a plain service.
   *
   * @param attempt attempt of the call
   * @param team team on whose behalf the call is made
   * @param service name of the service
   * @param path path relative to the service
   * @param idempotencyKey idempotency key of the caller; present for calls that may not be repeated
   * @param contentType content type of the body
   * @param body body of the call
   * @param isRepeatable whether the call may be repeated
   * @param checksFencing whether the service rejects outdated fencing tokens
   * @param deadlineMicros time after which the call must not be started, in microseconds since the
   *     epoch
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
   * Carries the response of a service to a call.
   *
   * @param attempt attempt of the call
   * @param status HTTP status of the response
   * @param contentType content type of the body
   * @param body body of the response
   */
  record CallAnswer(AttemptId attempt, int status, String contentType, String body)
      implements PeerMessage {}

  /**
   * State of an upstream, sent to every connected router when it changes.
   *
   * @param upstream name of the upstream
   * @param engineIncarnation incarnation of the engine or service
   * @param ready model versions that can serve now
   * @param isLeaving whether the upstream accepts no new work
   * @param queueDelayMicros expected time in the queue before new work starts, in microseconds
   * @param role role reported by the engine; mixed for a service or an engine without roles
   * @param readySinceMicros for each entry of {@code ready}, when it became ready, in microseconds
   *     since the epoch; empty if the sender does not report it
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

    /** Creates the status of an upstream without roles and without the times of its versions. */
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
   * Sends configuration records that the receiving peer is missing.
   *
   * @param records consecutive records of the configuration stream
   * @param era era of the store in which the records have their offsets; 0 if it is not known
   */
  record ConfigurationRecords(List<LogRecord> records, long era) implements PeerMessage {
    public ConfigurationRecords {
      records = List.copyOf(records);
    }

    /** Creates a message of records of a log that is never restored from a copy. */
    public ConfigurationRecords(List<LogRecord> records) {
      this(records, 0);
    }
  }

  /**
   * Asks a peer for configuration records.
   *
   * @param fromOffset first offset requested
   * @param era era of the store in which the sender knows all records below the offset; 0 if it is
   *     not known
   */
  record ConfigurationRequest(long fromOffset, long era) implements PeerMessage {

    /** Creates a request for records of a log that is never restored from a copy. */
    public ConfigurationRequest(long fromOffset) {
      this(fromOffset, 0);
    }
  }

  /**
   * Announces that a request is quarantined until a deadline.
   *
   * @param fingerprint digest of team and content
   * @param untilMicros end of the quarantine, in microseconds since the epoch
   */
  record Quarantine(String fingerprint, long untilMicros) implements PeerMessage {}

  /**
   * Announces that an upstream is prefilling or has prefilled prompts with some shared prefixes.
   *
   * @param upstream name of the upstream
   * @param openings hashes of the prefixes, each including the scope in which the prefix may be
   *     shared
   */
  record OpeningsHeld(String upstream, List<Long> openings) implements PeerMessage {
    public OpeningsHeld {
      openings = List.copyOf(openings);
    }
  }

  /**
   * Announces that a request was running on an upstream when it crashed, and may be the cause.
   *
   * @param content hash of the request's content
   * @param parts hashes of the parts of its prompt that other requests may have
   * @param crash identifier of the crash; the same in every announcement of it
   */
  record CrashSeen(long content, List<Long> parts, String crash) implements PeerMessage {
    public CrashSeen {
      parts = List.copyOf(parts);
    }
  }

  /**
   * Announces that contents or parts of requests are not the cause of crashes.
   *
   * @param keys hashes of the contents and parts
   */
  record CrashCleared(List<Long> keys) implements PeerMessage {
    public CrashCleared {
      keys = List.copyOf(keys);
    }
  }

  /**
   * Announces the limit that an upstream states for the requests of all routers together.
   *
   * @param upstream name of the upstream
   * @param incarnation incarnation of the upstream that states it
   * @param requestsPerSecond the limit; empty if the upstream no longer states one
   */
  record UpstreamLimit(String upstream, String incarnation, Optional<Double> requestsPerSecond)
      implements PeerMessage {}

  /**
   * Announces how much of their allowances teams have used at the sender. Replaces what the sender
   * announced before: a team that is not contained has no demand there.
   *
   * @param teams teams with an allowance that the sender has recently served
   */
  record TeamUse(List<UsedAllowance> teams) implements PeerMessage {
    public TeamUse {
      teams = List.copyOf(teams);
    }
  }

  /**
   * Use of a team's allowance at one router.
   *
   * @param team name of the team
   * @param used requests or tokens used since the start of the sender, as the allowance counts them
   * @param demandPerSecond recent rate of what the team's callers have asked for, served or not
   */
  record UsedAllowance(String team, long used, double demandPerSecond) {}

  /**
   * Announces how fast upstreams were compared with what the sender expected, since its last
   * announcement.
   *
   * @param speeds upstreams with new samples
   */
  record UpstreamSpeeds(List<UpstreamSpeed> speeds) implements PeerMessage {
    public UpstreamSpeeds {
      speeds = List.copyOf(speeds);
    }
  }

  /**
   * New samples of an upstream's speed.
   *
   * @param upstream name of the upstream
   * @param incarnation incarnation of the upstream that the samples are of
   * @param weight sum of the weights of the samples
   * @param ratio weighted mean of the measured time divided by the expected one
   */
  record UpstreamSpeed(String upstream, String incarnation, double weight, double ratio) {}

  /**
   * Announces how upstreams that have started or recovered respond.
   *
   * @param paces upstreams whose concurrency is limited for now
   */
  record UpstreamPace(List<PacedUpstream> paces) implements PeerMessage {
    public UpstreamPace {
      paces = List.copyOf(paces);
    }
  }

  /**
   * Responses of an upstream whose concurrency is limited for now, since the last announcement.
   *
   * @param upstream name of the upstream
   * @param incarnation incarnation of the upstream
   * @param inTime number of responses within their targets
   * @param late number of responses that were late, rejections and failures
   * @param window requests without a response that all routers together may have at the upstream
   */
  record PacedUpstream(String upstream, String incarnation, int inTime, int late, int window) {}

  /** Announces which contents or parts of requests are quarantined. */
  record Quarantines(List<QuarantinedKey> quarantined) implements PeerMessage {
    public Quarantines {
      quarantined = List.copyOf(quarantined);
    }
  }

  /**
   * A content or part of requests that is quarantined.
   *
   * @param key hash of the content or part
   * @param remainingMicros time to the end of the quarantine, in microseconds; not the end itself,
   *     since the clocks of processes may differ by more than a quarantine lasts
   */
  record QuarantinedKey(long key, long remainingMicros) {}

  /**
   * Asks the owner of a partition for the exclusive right to make a call, or for the state of an
   * earlier claim.
   *
   * @param scope team, service and idempotency key
   * @param digest digest of the payload
   * @param claim identifier of the claim; the same in every repeat of the request
   * @param keyCreatedAtMicros creation time of the idempotency key, in microseconds since the
   *     epoch; present if the key proves it
   * @param deadlineMicros deadline after which the claim is useless and must not be appended, in
   *     microseconds since the epoch
   */
  record ClaimRequest(
      String scope,
      String digest,
      String claim,
      Optional<Long> keyCreatedAtMicros,
      long deadlineMicros)
      implements PeerMessage {}

  /**
   * Replies to a claim request.
   *
   * @param claim identifier of the claim
   * @param verdict decision on the claim according to the log
   * @param offset log offset of the claim that was granted, used as fencing token; 0 if there is
   *     none
   * @param outcome response of the service; present for {@link ClaimVerdict#FINISHED}
   */
  record ClaimAnswer(
      String claim, ClaimVerdict verdict, long offset, Optional<ServiceOutcome> outcome)
      implements PeerMessage {}

  /**
   * Reports to the owner of a partition how a claim ended.
   *
   * @param scope scope of the claim
   * @param claim identifier of the claim
   * @param outcome response of the service; empty if the call was not made and never will be
   */
  record ClaimEnded(String scope, String claim, Optional<ServiceOutcome> outcome)
      implements PeerMessage {}

  /**
   * Confirms to the claimant that the end of its claim is recorded in the log.
   *
   * @param claim identifier of the claim
   */
  record ClaimEndRecorded(String claim) implements PeerMessage {}
}
