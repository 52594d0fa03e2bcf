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
 * Makes calls that may not be repeated, each at most once over the whole fleet.
 *
 * <p>A call is dispatched only after its claim was read back from the log as the one that counts.
 * What the service answered goes to the log too, and from there to every repeat. A claim that may
 * have led to a call is never taken over.
 *
 * <p>Invariant: a claim is given back only when its call was not made and never will be made under
 * it. Not thread-safe: used on the decision thread.
 */
public final class AtMostOnceCalls {
  /** Longest time that a caller waits for a claim, in microseconds. */
  public static final long CLAIM_PATIENCE_MICROS = 4_000_000;

  private static final long ASK_INTERVAL_MICROS = 400_000;

  /** Time after which to come back where the log did not decide, in microseconds. */
  private static final long COME_BACK_MICROS = 2_000_000;

  /** Questions without an answer after which the next sidecar in rank is asked. */
  private static final int QUESTIONS_PER_KEEPER = 2;

  private final String self;
  private final long incarnation;
  private final Outbox outbox;
  private final Consumer<SidecarCommand.CallService> dispatcher;
  private final Counters counters;
  private final CallScreening screening;
  private final ClaimPartitions partitions;
  private final OwnedPartitions keeping;
  private final ClaimEnds ends = new ClaimEnds(this::sendEnd);
  private final ClaimedCalls calls = new ClaimedCalls();
  private long claims;
  private long nowMicros;

  /**
   * Creates a desk.
   *
   * @param self name of this instance
   * @param incarnation incarnation of this process; grows with each restart
   * @param outbox way to peers and to the log
   * @param dispatcher takes calls to the service
   * @param options options, equal in the whole fleet
   * @param counters counters of refusals and appends
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
    this.screening = new CallScreening(options);
    this.partitions = new ClaimPartitions(options.partitions(), self);
    this.keeping = new OwnedPartitions(self, outbox, options, counters, this::reply, partitions);
  }

  /** Returns whether no call is open and every end is in the log. */
  public boolean isIdle() {
    return calls.isEmpty() && ends.isEmpty();
  }

  /** Returns the number of scopes remembered for the fleet by this sidecar. */
  public int scopesKept() {
    return keeping.scopes();
  }

  /** Takes the list of instances, from which keepers are chosen. */
  public void onInstances(InstanceList list) {
    partitions.setInstances(list, self);
  }

  /** Takes a call that may not be repeated. The sidecar has checked that it may take work. */
  public void onCall(String router, PeerMessage.Call call, long now) {
    nowMicros = now;
    Optional<RefusalReason> refusal = screening.refusal(call, now);
    if (refusal.isPresent()) {
      fail(router, call.attempt(), refusal.get(), Outcome.NOT_RUN, "The call was not dispatched.");
      return;
    }
    String scope = call.team() + '|' + call.service() + '|' + call.idempotencyKey().orElseThrow();
    String digest = CallScreening.digest(call);
    Optional<ClaimedCall> open = calls.ofScope(scope);
    if (open.isEmpty()) {
      open(router, call, scope, digest);
    } else if (open.get().digest.equals(digest)) {
      open.get().waiters.put(call.attempt(), router);
    } else {
      fail(
          router,
          call.attempt(),
          RefusalReason.IDEMPOTENCY_KEY_REUSED,
          Outcome.NOT_RUN,
          "The key is in use for another payload.");
    }
  }

  /** Takes a message between sidecars; returns whether it was about claims. */
  public boolean onEnvelope(Envelope envelope, long now) {
    nowMicros = now;
    PeerMessage message = envelope.message();
    if (message instanceof PeerMessage.ClaimRequest request) {
      keeping.onClaim(envelope.sender(), request, now);
    } else if (message instanceof PeerMessage.ClaimEnded ended) {
      keeping.onEnded(envelope.sender(), ended, now);
    } else if (message instanceof PeerMessage.ClaimAnswer answer) {
      onAnswer(answer);
    } else if (message instanceof PeerMessage.ClaimEndRecorded recorded) {
      ends.onRecorded(recorded.claim());
    } else {
      return false;
    }
    return true;
  }

  /** Takes the service's answer to a call; returns whether the call was made here. */
  public boolean onAnswered(
      AttemptId attempt, int status, String contentType, String body, long now) {
    nowMicros = now;
    Optional<ClaimedCall> ended = calls.endRun(attempt);
    if (ended.isEmpty()) {
      return false;
    }
    ClaimedCall call = ended.get();
    counters.increment("calls.answered");
    answer(call, status, contentType, body);
    calls.close(call);
    Optional<ServiceOutcome> outcome = Optional.of(ServiceOutcome.of(status, contentType, body));
    ends.add(call.scope, call.claim, outcome, now);
    return true;
  }

  /** Takes the failure of a call; returns whether the call was made here. */
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
          "The service did not answer, and the call is not made again.");
      calls.close(call);
    } else {
      failAll(call, RefusalReason.NO_UPSTREAM, Outcome.NOT_RUN, "The service was not reached.");
      giveBack(call);
    }
    return true;
  }

  /** Forgets who waits at a router that is gone. Calls that run go on. */
  public void onRouterGone(String router) {
    calls.removeWaitersAt(router);
  }

  /** Takes records read from the log. */
  public void onLogRead(LogPage page, long now) {
    nowMicros = now;
    if (ClaimPartitions.isClaims(page.stream())) {
      keeping.onRead(page, now);
    }
  }

  /** Takes the failure of a read. */
  public void onLogReadFailed(String stream, long now) {
    nowMicros = now;
    keeping.onReadFailed(stream, now);
  }

  /** Takes the answer to an append; answers to others' appends are ignored. */
  public void onLogAppended(long token, long now) {
    nowMicros = now;
    keeping.onAppended(token, now);
  }

  /** Takes the failure of an append; failures of others' appends are ignored. */
  public void onLogAppendFailed(long token, boolean mayHaveTakenEffect, long now) {
    nowMicros = now;
    keeping.onAppendFailed(token, mayHaveTakenEffect, now);
  }

  /** Asks again, gives up or appends, as the time requires. */
  public void onTick(long now) {
    nowMicros = now;
    for (ClaimedCall call : calls.all()) {
      if (!call.isRunning) {
        proceed(call);
      }
    }
    ends.onTick(now);
    keeping.onTick(now);
  }

  private void open(String router, PeerMessage.Call call, String scope, String digest) {
    String claim = self + '/' + incarnation + '/' + claims++;
    long giveUpMicros = Math.min(call.deadlineMicros(), nowMicros + CLAIM_PATIENCE_MICROS);
    String stream = partitions.streamOf(scope);
    ClaimedCall open = new ClaimedCall(call, scope, digest, claim, stream, giveUpMicros);
    open.waiters.put(call.attempt(), router);
    calls.add(open);
    proceed(open);
  }

  private void proceed(ClaimedCall call) {
    if (nowMicros >= call.giveUpMicros) {
      giveUp(call);
    } else if (nowMicros >= call.nextAskMicros) {
      call.nextAskMicros = nowMicros + ASK_INTERVAL_MICROS;
      call.hasAsked = true;
      int rank = call.unansweredQuestions++ / QUESTIONS_PER_KEEPER;
      sendToKeeper(call.stream, rank, question(call));
    }
  }

  private PeerMessage.ClaimRequest question(ClaimedCall call) {
    Optional<Long> created = screening.provenCreation(call.call, nowMicros);
    return new PeerMessage.ClaimRequest(
        call.scope, call.digest, call.claim, created, call.giveUpMicros);
  }

  private void giveUp(ClaimedCall call) {
    if (call.isHeldElsewhere) {
      failAll(
          call,
          RefusalReason.CLAIM_HELD_ELSEWHERE,
          Outcome.UNKNOWN,
          "The call may have run under an earlier claim, and its answer is not known.");
    } else {
      failAll(
          call,
          RefusalReason.CLAIM_UNDECIDED,
          Outcome.UNKNOWN,
          "The claim was not decided in time.");
    }
    giveBack(call);
  }

  private void onAnswer(PeerMessage.ClaimAnswer answer) {
    calls
        .ofClaim(answer.claim())
        .filter(call -> !call.isRunning)
        .ifPresent(call -> onVerdict(call, answer));
  }

  private void onVerdict(ClaimedCall call, PeerMessage.ClaimAnswer answer) {
    call.unansweredQuestions = 0;
    switch (answer.verdict()) {
      case GRANTED -> onGranted(call, answer.offset());
      case FINISHED -> onFinished(call, answer.outcome().orElseThrow());
      case HELD -> call.isHeldElsewhere = true;
      case MISMATCH -> {
        failAll(
            call,
            RefusalReason.IDEMPOTENCY_KEY_REUSED,
            Outcome.NOT_RUN,
            "The key belongs to another payload.");
        giveBack(call);
      }
      case UNAVAILABLE_UNCLAIMED -> {
        failAll(
            call,
            RefusalReason.LOG_UNAVAILABLE,
            Outcome.NOT_RUN,
            "The claim could not be written to the log.");
        giveBack(call);
      }
      case UNDECIDED -> {
        failAll(
            call,
            RefusalReason.CLAIM_UNDECIDED,
            Outcome.UNKNOWN,
            "The log cannot be read, so an earlier claim cannot be ruled out.");
        giveBack(call);
      }
    }
  }

  /** Last step before the call is made: the deadline is checked here and nowhere later. */
  private void onGranted(ClaimedCall call, long offset) {
    if (nowMicros >= call.call.deadlineMicros() || call.waiters.isEmpty()) {
      failAll(call, RefusalReason.DEADLINE_PASSED, Outcome.NOT_RUN, "The claim came too late.");
      giveBack(call);
      return;
    }
    calls.run(call);
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
      answer(call, outcome.status(), outcome.contentType(), outcome.body().get());
    } else {
      failAll(
          call,
          RefusalReason.CLAIM_HELD_ELSEWHERE,
          Outcome.DONE,
          "The call has run; its answer was too long to be kept.");
    }
    calls.close(call);
  }

  private void answer(ClaimedCall call, int status, String contentType, String body) {
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
    boolean isLater =
        reason == RefusalReason.LOG_UNAVAILABLE || reason == RefusalReason.CLAIM_UNDECIDED;
    long retryAtMicros = isLater ? nowMicros + COME_BACK_MICROS : 0;
    outbox.send(router, new PeerMessage.Failed(attempt, reason, outcome, detail, retryAtMicros));
  }

  private void giveBack(ClaimedCall call) {
    calls.close(call);
    if (call.hasAsked) {
      ends.add(call.scope, call.claim, Optional.empty(), nowMicros);
    }
  }

  private void sendEnd(PeerMessage.ClaimEnded ended, int earlier) {
    sendToKeeper(partitions.streamOf(ended.scope()), earlier / QUESTIONS_PER_KEEPER, ended);
  }

  private void sendToKeeper(String stream, int rank, PeerMessage message) {
    reply(partitions.keeperOf(stream, rank).orElse(self), message);
  }

  private void reply(String peer, PeerMessage message) {
    if (peer.equals(self)) {
      onEnvelope(new Envelope(self, incarnation, 0, message), nowMicros);
    } else {
      outbox.send(peer, message);
    }
  }
}
