package org.shallothook.coordination.booking;

import java.util.Optional;
import java.util.function.Consumer;
import org.shallothook.coordination.message.Envelope;
import org.shallothook.coordination.message.PeerMessage;
import org.shallothook.coordination.port.Counters;
import org.shallothook.coordination.port.Outbox;
import org.shallothook.coordination.sidecar.SidecarCommand;
import org.shallothook.state.booking.ServiceOutcome;
import org.shallothook.state.log.LogPage;
import org.shallothook.state.membership.InstanceList;
import org.shallothook.state.request.AttemptId;
import org.shallothook.state.request.Outcome;
import org.shallothook.state.request.RefusalReason;

/**
 * Makes calls that must not be repeated, each at most once across the whole fleet.
 *
 * <p>A call is dispatched only after its claim has been read back from the log as the winning claim
 * of its scope. The service's response is also written to the log, and repeated calls get it from
 * there. A claim under which a call may have been made is never taken over.
 *
 * <p>Invariant: a claim is released only if its call was not made and will never be made under it.
 * Not thread-safe: used on the decision thread.
 */
public final class AtMostOnceCalls {
  /** Longest time that a call waits for its claim to be decided, in microseconds. */
  public static final long CLAIM_TIMEOUT_MICROS = 4_000_000;

  /** Interval between two requests for the same claim, in microseconds. */
  private static final long REQUEST_INTERVAL_MICROS = 400_000;

  /** Delay before a retry that callers are given when the log is unavailable, in microseconds. */
  private static final long RETRY_DELAY_MICROS = 2_000_000;

  /** Unanswered requests after which the sidecar of the next rank is requested instead. */
  private static final int REQUESTS_PER_OWNER = 2;

  private final String self;
  private final long incarnation;
  private final Outbox outbox;
  private final Consumer<SidecarCommand.CallService> dispatcher;
  private final Counters counters;
  private final CallValidator validator;
  private final ClaimPartitions partitions;
  private final OwnedPartitions ownedPartitions;
  private final PendingClaimEnds ends = new PendingClaimEnds(this::sendEnd);
  private final ClaimedCalls calls = new ClaimedCalls();
  private long nextClaimNumber;
  private long nowMicros;

  /**
   * Creates an instance without open calls.
   *
   * @param self name of this instance
   * @param incarnation incarnation of this process, which grows with each restart
   * @param outbox sends messages to peers, and reads and appends to the log
   * @param dispatcher dispatches calls to the service
   * @param options options of claims, which must be equal in the whole fleet
   * @param counters counts calls, failures and operations on the log
   */
  public AtMostOnceCalls(
      String self,
      long incarnation,
      Outbox outbox,
      Consumer<SidecarCommand.CallService> dispatcher,
      ClaimOptions options,
      Counters counters) {
    this.self = self;
    this.incarnation = incarnation;
    this.outbox = outbox;
    this.dispatcher = dispatcher;
    this.counters = counters;
    this.validator = new CallValidator(options);
    this.partitions = new ClaimPartitions(options.partitions(), self);
    this.ownedPartitions =
        new OwnedPartitions(self, outbox, options, counters, this::send, partitions);
  }

  /** Returns whether no call is open and no claim end is waiting to be recorded in the log. */
  public boolean isIdle() {
    return calls.isEmpty() && ends.isEmpty();
  }

  /** Returns the number of scopes that this sidecar has loaded from the partitions it serves. */
  public int scopeCount() {
    return ownedPartitions.scopeCount();
  }

  /** Applies a new list of instances, from which the owners of partitions are chosen. */
  public void onInstances(InstanceList list) {
    partitions.setInstances(list, self);
  }

  /** Handles a call that must not be repeated. The sidecar has checked that it may accept work. */
  public void onCall(String router, PeerMessage.Call call, long now) {
    nowMicros = now;
    Optional<RefusalReason> refusal = validator.refusal(call, now);
    if (refusal.isPresent()) {
      fail(router, call.attempt(), refusal.get(), Outcome.NOT_RUN, "The call was not dispatched.");
      return;
    }
    String scope = call.team() + '|' + call.service() + '|' + call.idempotencyKey().orElseThrow();
    String digest = CallValidator.digest(call);
    Optional<ClaimedCall> open = calls.ofScope(scope);
    if (open.isEmpty()) {
      openCall(router, call, scope, digest);
    } else if (open.get().digest.equals(digest)) {
      open.get().waiters.put(call.attempt(), router);
    } else {
      fail(
          router,
          call.attempt(),
          RefusalReason.IDEMPOTENCY_KEY_REUSED,
          Outcome.NOT_RUN,
          "The idempotency key is in use for another payload.");
    }
  }

  /** Handles a message between sidecars; returns whether it was about claims. */
  public boolean onEnvelope(Envelope envelope, long now) {
    nowMicros = now;
    PeerMessage message = envelope.message();
    if (message instanceof PeerMessage.ClaimRequest request) {
      ownedPartitions.onClaim(envelope.sender(), request, now);
    } else if (message instanceof PeerMessage.ClaimEnded ended) {
      ownedPartitions.onEnded(envelope.sender(), ended, now);
    } else if (message instanceof PeerMessage.ClaimAnswer answer) {
      onClaimAnswer(answer);
    } else if (message instanceof PeerMessage.ClaimEndRecorded recorded) {
      ends.onRecorded(recorded.claim());
    } else {
      return false;
    }
    return true;
  }

  /** Handles the service's response to a call; returns whether the call was made here. */
  public boolean onAnswered(
      AttemptId attempt, int status, String contentType, String body, long now) {
    nowMicros = now;
    Optional<ClaimedCall> ended = calls.endRun(attempt);
    if (ended.isEmpty()) {
      return false;
    }
    ClaimedCall call = ended.get();
    counters.increment("calls.answered");
    sendAnswers(call, status, contentType, body);
    calls.close(call);
    Optional<ServiceOutcome> outcome = Optional.of(ServiceOutcome.of(status, contentType, body));
    ends.add(call.scope, call.claim, outcome, now);
    return true;
  }

  /** Handles the failure of a call; returns whether the call was made here. */
  public boolean onFailed(AttemptId attempt, boolean hasReachedService, long now) {
    nowMicros = now;
    Optional<ClaimedCall> ended = calls.endRun(attempt);
    if (ended.isEmpty()) {
      return false;
    }
    ClaimedCall call = ended.get();
    if (hasReachedService) {
      failAll(
          call,
          RefusalReason.CONNECTION_LOST,
          Outcome.UNKNOWN,
          "The service did not respond, and the call is not repeated.");
      calls.close(call);
    } else {
      failAll(call, RefusalReason.NO_UPSTREAM, Outcome.NOT_RUN, "The service was not reached.");
      release(call);
    }
    return true;
  }

  /** Removes the attempts that wait at a router that is gone. Running calls continue. */
  public void onRouterGone(String router) {
    calls.removeWaitersAt(router);
  }

  /** Handles a page read from the log; pages of other streams are ignored. */
  public void onLogRead(LogPage page, long now) {
    nowMicros = now;
    if (ClaimPartitions.isClaimStream(page.stream())) {
      ownedPartitions.onRead(page, now);
    }
  }

  /** Handles the failure of a read; reads of other streams are ignored. */
  public void onLogReadFailed(String stream, long now) {
    nowMicros = now;
    ownedPartitions.onReadFailed(stream, now);
  }

  /** Handles the completion of an append; appends of other components are ignored. */
  public void onLogAppended(long token, long now) {
    nowMicros = now;
    ownedPartitions.onAppended(token, now);
  }

  /** Handles the failure of an append; appends of other components are ignored. */
  public void onLogAppendFailed(long token, boolean mayHaveTakenEffect, long now) {
    nowMicros = now;
    ownedPartitions.onAppendFailed(token, mayHaveTakenEffect, now);
  }

  /** Repeats requests, fails calls whose claim timed out and appends to the log, as each is due. */
  public void onTick(long now) {
    nowMicros = now;
    for (ClaimedCall call : calls.all()) {
      if (!call.isRunning) {
        requestClaimIfDue(call);
      }
    }
    ends.onTick(now);
    ownedPartitions.onTick(now);
  }

  private void openCall(String router, PeerMessage.Call call, String scope, String digest) {
    String claim = self + '/' + incarnation + '/' + nextClaimNumber++;
    long giveUpMicros = Math.min(call.deadlineMicros(), nowMicros + CLAIM_TIMEOUT_MICROS);
    String stream = partitions.streamOf(scope);
    ClaimedCall open = new ClaimedCall(call, scope, digest, claim, stream, giveUpMicros);
    open.waiters.put(call.attempt(), router);
    calls.add(open);
    requestClaimIfDue(open);
  }

  private void requestClaimIfDue(ClaimedCall call) {
    if (nowMicros >= call.giveUpMicros) {
      failUndecided(call);
    } else if (nowMicros >= call.nextRequestMicros) {
      call.nextRequestMicros = nowMicros + REQUEST_INTERVAL_MICROS;
      call.hasRequestedClaim = true;
      int rank = call.unansweredRequests++ / REQUESTS_PER_OWNER;
      sendToOwner(call.stream, rank, claimRequest(call));
    }
  }

  private PeerMessage.ClaimRequest claimRequest(ClaimedCall call) {
    Optional<Long> createdMicros = validator.provenCreationMicros(call.call, nowMicros);
    return new PeerMessage.ClaimRequest(
        call.scope, call.digest, call.claim, createdMicros, call.giveUpMicros);
  }

  private void failUndecided(ClaimedCall call) {
    if (call.isHeldElsewhere) {
      failAll(
          call,
          RefusalReason.CLAIM_HELD_ELSEWHERE,
          Outcome.UNKNOWN,
          "The call may have run under an earlier claim, and its response is not known.");
    } else {
      failAll(
          call,
          RefusalReason.CLAIM_UNDECIDED,
          Outcome.UNKNOWN,
          "The claim was not decided in time.");
    }
    release(call);
  }

  private void onClaimAnswer(PeerMessage.ClaimAnswer answer) {
    calls
        .ofClaim(answer.claim())
        .filter(call -> !call.isRunning)
        .ifPresent(call -> onVerdict(call, answer));
  }

  private void onVerdict(ClaimedCall call, PeerMessage.ClaimAnswer answer) {
    call.unansweredRequests = 0;
    switch (answer.verdict()) {
      case GRANTED -> onGranted(call, answer.offset());
      case FINISHED -> onFinished(call, answer.outcome().orElseThrow());
      case HELD -> call.isHeldElsewhere = true;
      case MISMATCH -> {
        failAll(
            call,
            RefusalReason.IDEMPOTENCY_KEY_REUSED,
            Outcome.NOT_RUN,
            "The idempotency key was used for another payload.");
        release(call);
      }
      case UNAVAILABLE_UNCLAIMED -> {
        failAll(
            call,
            RefusalReason.LOG_UNAVAILABLE,
            Outcome.NOT_RUN,
            "The claim could not be written to the log.");
        release(call);
      }
      case UNDECIDED -> {
        failAll(
            call,
            RefusalReason.CLAIM_UNDECIDED,
            Outcome.UNKNOWN,
            "The log cannot be read, so an earlier claim cannot be ruled out.");
        release(call);
      }
    }
  }

  /** Dispatches the call. This is the last check of its deadline. */
  private void onGranted(ClaimedCall call, long offset) {
    if (nowMicros >= call.call.deadlineMicros() || call.waiters.isEmpty()) {
      failAll(
          call,
          RefusalReason.DEADLINE_PASSED,
          Outcome.NOT_RUN,
          "The claim was granted after the deadline.");
      release(call);
      return;
    }
    calls.startRun(call);
    counters.increment("calls.claimed");
    dispatcher.accept(
        new SidecarCommand.CallService(
            call.call.attempt(),
            call.call.path(),
            call.call.idempotencyKey(),
            call.call.checksFencing() ? Optional.of(offset) : Optional.empty(),
            call.call.contentType(),
            call.call.body()));
  }

  private void onFinished(ClaimedCall call, ServiceOutcome outcome) {
    counters.increment("calls.answered-from-log");
    if (outcome.body().isPresent()) {
      sendAnswers(call, outcome.status(), outcome.contentType(), outcome.body().get());
    } else {
      failAll(
          call,
          RefusalReason.CLAIM_HELD_ELSEWHERE,
          Outcome.DONE,
          "The call has run, but its response was too long to store.");
    }
    calls.close(call);
  }

  private void sendAnswers(ClaimedCall call, int status, String contentType, String body) {
    call.waiters.forEach(
        (attempt, router) ->
            outbox.send(router, new PeerMessage.CallAnswer(attempt, status, contentType, body)));
  }

  private void failAll(ClaimedCall call, RefusalReason reason, Outcome outcome, String detail) {
    call.waiters.forEach((attempt, router) -> fail(router, attempt, reason, outcome, detail));
  }

  private void fail(
      String router, AttemptId attempt, RefusalReason reason, Outcome outcome, String detail) {
    counters.increment("failures." + reason.code());
    boolean isTemporary =
        reason == RefusalReason.LOG_UNAVAILABLE || reason == RefusalReason.CLAIM_UNDECIDED;
    long retryAtMicros = isTemporary ? nowMicros + RETRY_DELAY_MICROS : 0;
    outbox.send(router, new PeerMessage.Failed(attempt, reason, outcome, detail, retryAtMicros));
  }

  private void release(ClaimedCall call) {
    calls.close(call);
    if (call.hasRequestedClaim) {
      ends.add(call.scope, call.claim, Optional.empty(), nowMicros);
    }
  }

  private void sendEnd(PeerMessage.ClaimEnded ended, int timesSent) {
    sendToOwner(partitions.streamOf(ended.scope()), timesSent / REQUESTS_PER_OWNER, ended);
  }

  private void sendToOwner(String stream, int rank, PeerMessage message) {
    send(partitions.ownerOf(stream, rank).orElse(self), message);
  }

  private void send(String peer, PeerMessage message) {
    if (peer.equals(self)) {
      onEnvelope(new Envelope(self, incarnation, 0, message), nowMicros);
    } else {
      outbox.send(peer, message);
    }
  }
}
