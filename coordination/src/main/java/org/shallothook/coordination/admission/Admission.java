package org.shallothook.coordination.admission;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.shallothook.coordination.engine.EngineChange;
import org.shallothook.coordination.engine.EngineMonitor;
import org.shallothook.coordination.message.Hint;
import org.shallothook.coordination.message.PeerMessage;
import org.shallothook.coordination.port.Counters;
import org.shallothook.coordination.sidecar.SidecarEvent;
import org.shallothook.coordination.sidecar.SidecarOptions;
import org.shallothook.coordination.sidecar.SidecarOutbox;
import org.shallothook.state.cache.BlockKey;
import org.shallothook.state.configuration.PriorityClass;
import org.shallothook.state.request.AttemptId;
import org.shallothook.state.request.Outcome;
import org.shallothook.state.request.RefusalReason;

/**
 * Admission control for one engine: handles attempts from their offer to their end.
 *
 * <p>Invariants: every submitted attempt ends with a completion or failure message to its router,
 * unless the router cancelled it or is gone; no offer is accepted while leaving. Not thread-safe:
 * used on the decision thread.
 */
public final class Admission {
  private static final int FAILED_READS_BEFORE_FAILING_QUEUED = 2;
  private static final int SPARE_SLOTS_DIVISOR = 4;

  private final SidecarOptions options;
  private final SidecarOutbox outbox;
  private final Counters counters;
  private final EngineMonitor engine;
  private final PrefixAvailability prefixes;
  private final AttemptTable table = new AttemptTable();
  private final AttemptHistory history = new AttemptHistory();
  private final QuarantineList quarantine = new QuarantineList();
  private final ServiceEstimator estimator;
  private final OfferPolicy policy;
  private final AttemptTerminator terminator;
  private final CrashAttribution crashes;
  private final Dispatcher dispatcher;
  private final StreamRelay relay;
  private boolean isLeaving;

  /** Creates the admission control of an engine without attempts. */
  public Admission(
      SidecarOptions options,
      SidecarOutbox outbox,
      Counters counters,
      EngineMonitor engine,
      PrefixAvailability prefixes,
      BackgroundRun background) {
    this.options = options;
    this.outbox = outbox;
    this.counters = counters;
    this.engine = engine;
    this.prefixes = prefixes;
    estimator = new ServiceEstimator(options, engine, table, prefixes);
    policy = new OfferPolicy(options, engine, table, estimator, quarantine);
    terminator = new AttemptTerminator(outbox, counters, table, prefixes);
    crashes = new CrashAttribution(table, terminator);
    dispatcher =
        new Dispatcher(
            options, outbox, counters, engine, table, estimator, prefixes, terminator, background);
    relay =
        new StreamRelay(options, outbox, counters, table, estimator, prefixes, terminator, crashes);
  }

  /** Returns whether no attempt is open. */
  public boolean isIdle() {
    return table.isEmpty();
  }

  /**
   * Returns whether the engine has spare capacity for background work: it is prefilling no prompt,
   * runs no crash suspect, and at least a quarter of its slots are free.
   */
  public boolean hasSpareCapacity() {
    int freeSlots = engine.maximumRunning() - running();
    return engine.isReachable()
        && !isLeaving
        && !dispatcher.isSuspended()
        && freeSlots * SPARE_SLOTS_DIVISOR >= engine.maximumRunning()
        && estimator.runningPrefills(PriorityClass.ORDINARY) == 0
        && table.running().stream().noneMatch(AdmittedAttempt::isSuspect);
  }

  /** Returns the expected time to compute a block, in microseconds. */
  public long prefillMicrosPerBlock() {
    return estimator.prefillMicros(1);
  }

  /** Returns the number of attempts that run on the engine. */
  public int running() {
    return table.running().size();
  }

  /** Returns the number of attempts that are reserved or queued. */
  public int waiting() {
    return table.size() - table.running().size();
  }

  /** Returns the expected queue delay of new ordinary work, in microseconds. */
  public long queueDelayMicros() {
    return estimator.queueDelayMicros("", PriorityClass.ORDINARY);
  }

  /** Returns the mean duration of a run on the engine, in microseconds. */
  public long streamMicros() {
    return estimator.streamMicros();
  }

  /** Returns the records of the latest attempts. */
  public AttemptHistory history() {
    return history;
  }

  /**
   * Accepts or refuses an offer, and sends the reply to its router.
   *
   * @param router router that sent the offer
   * @param offer received offer
   * @param spread spread of the offer's deepest hot prefix
   * @param nowMicros time of its arrival, in microseconds since the epoch
   * @return whether the offer was accepted and has a reservation; false also for a repeated offer
   */
  public boolean onOffer(
      String router, PeerMessage.Offer offer, PrefixSpread spread, long nowMicros) {
    if (table.find(offer.attempt()).isPresent()) {
      counters.increment("offers.repeated");
      return false;
    }
    PrefixForecast forecast = prefixes.forecast(offer, estimator.prefillMicros(1), nowMicros);
    int matched = forecast.blocks();
    long delay =
        Math.max(
            forecast.waitMicros(),
            estimator.queueDelayMicros(offer.identity().team(), offer.priority()));
    Hint hint = new Hint(matched, delay, spread.ranks(), spread.blocks());
    AttemptRecord record = new AttemptRecord(router, offer, matched, delay, nowMicros);
    history.add(record);
    Optional<RefusalReason> refusal = refusal(offer, hint, nowMicros);
    if (refusal.isPresent()) {
      refuse(router, offer, refusal.get(), hint, record, nowMicros);
      return false;
    }
    long until = Math.min(nowMicros + options.reservationMicros(), offer.deadlineMicros());
    table.reserve(new AdmittedAttempt(router, offer, until, record));
    counters.increment("offers.accepted");
    outbox.send(router, new PeerMessage.OfferReply(offer.attempt(), Optional.empty(), hint, until));
    return true;
  }

  /** Returns the offer of an attempt that has a reservation, if there is one. */
  public Optional<PeerMessage.Offer> reservedOffer(AttemptId id) {
    return table
        .find(id)
        .filter(attempt -> attempt.is(AdmittedAttempt.Stage.RESERVED))
        .map(AdmittedAttempt::offer);
  }

  /** Replaces the block keys in the offer of a reserved attempt by those of its prompt. */
  public void setKeys(AttemptId id, List<BlockKey> keys) {
    table
        .find(id)
        .filter(attempt -> attempt.is(AdmittedAttempt.Stage.RESERVED))
        .ifPresent(attempt -> attempt.setKeys(keys));
  }

  /**
   * Queues an attempt that has a reservation; fails one that has none.
   *
   * @return the offer of the attempt, if it was queued
   */
  public Optional<PeerMessage.Offer> onSubmit(
      String router, PeerMessage.Submit submit, long nowMicros) {
    Optional<AdmittedAttempt> found = table.find(submit.attempt());
    if (found.isEmpty()) {
      failUnreserved(router, submit);
      return Optional.empty();
    }
    if (!found.get().is(AdmittedAttempt.Stage.RESERVED)) {
      counters.increment("submits.repeated");
      return Optional.empty();
    }
    table.enqueue(found.get(), submit);
    dispatcher.dispatch(nowMicros);
    return found.map(AdmittedAttempt::offer);
  }

  /** Cancels an attempt at the request of its router. */
  public void onCancel(PeerMessage.Cancel cancel, long nowMicros) {
    table
        .find(cancel.attempt())
        .ifPresent(attempt -> terminator.drop(attempt, "cancelled", nowMicros));
    dispatcher.dispatch(nowMicros);
  }

  /** Records up to which position a caller has read its stream. */
  public void onConsumed(PeerMessage.Consumed message) {
    relay.onConsumed(message);
  }

  /** Quarantines a request, so that it is not run here before a deadline. */
  public void onQuarantine(PeerMessage.Quarantine message) {
    quarantine.add(message.fingerprint(), message.untilMicros());
  }

  /** Cancels all attempts of a router that is gone. */
  public void onRouterGone(String router, long nowMicros) {
    for (AdmittedAttempt attempt : table.matching(open -> open.router().equals(router))) {
      terminator.drop(attempt, "router-gone", nowMicros);
    }
    dispatcher.dispatch(nowMicros);
  }

  /** Relays tokens of the engine to the router. */
  public void onTokens(SidecarEvent.EngineTokens event, long nowMicros) {
    if (relay.onTokens(event, nowMicros)) {
      dispatcher.dispatch(nowMicros);
    }
  }

  /** Completes an attempt whose run has ended. */
  public void onEnded(SidecarEvent.EngineEnded event, long nowMicros) {
    relay.onEnded(event, nowMicros);
    dispatcher.dispatch(nowMicros);
  }

  /** Handles a run that the engine refused or whose stream broke. */
  public void onFailed(SidecarEvent.EngineFailed event, long nowMicros) {
    if (relay.onFailed(event, nowMicros)) {
      dispatcher.suspend();
      engine.readNow(nowMicros);
    }
  }

  /** Handles a status report of the engine that the monitor has already recorded. */
  public void onEngineStatus(Set<EngineChange> changes, long nowMicros) {
    if (changes.contains(EngineChange.INCARNATION)) {
      crashes.onAllLost(nowMicros);
    } else {
      crashes.onEngineAlive(nowMicros);
    }
    if (changes.contains(EngineChange.VERSION_REMOVED)) {
      failQueued(this::isOfMissingVersion, RefusalReason.WRONG_VERSION, nowMicros);
    }
    dispatcher.resume();
    dispatcher.dispatch(nowMicros);
  }

  /** Handles a failed read of the engine's state. */
  public void onEngineUnreachable(long nowMicros) {
    boolean hasLostStreams = crashes.isReportPending();
    crashes.onEngineLost(nowMicros);
    if (!hasLostStreams && engine.consecutiveFailures() < FAILED_READS_BEFORE_FAILING_QUEUED) {
      return;
    }
    failQueued(attempt -> attempt.runs() == 0, RefusalReason.NO_UPSTREAM, nowMicros);
    failQueued(attempt -> true, RefusalReason.ENGINE_LOST, nowMicros);
  }

  /** Starts attempts that were waiting for blocks that are now cached. */
  public void onPrefixesChanged(long nowMicros) {
    dispatcher.dispatch(nowMicros);
  }

  /**
   * Refuses new offers, fails reserved attempts and those that never ran, and lets the others
   * finish.
   */
  public void leave(long nowMicros) {
    isLeaving = true;
    failQueued(attempt -> attempt.runs() == 0, RefusalReason.UPSTREAM_LEAVING, nowMicros);
    for (AdmittedAttempt attempt :
        table.matching(open -> open.is(AdmittedAttempt.Stage.RESERVED))) {
      terminator.fail(
          attempt, RefusalReason.UPSTREAM_LEAVING, "The upstream is leaving.", 0, nowMicros);
    }
  }

  /** Accepts new offers again. */
  public void onStay() {
    isLeaving = false;
  }

  /** Handles lost engines and expired attempts, and starts attempts that can run. */
  public void onTick(long nowMicros) {
    crashes.onTick(nowMicros);
    if (engine.isLost(nowMicros) && running() > 0) {
      crashes.onAllLost(nowMicros);
    }
    expire(nowMicros);
    quarantine.onTick(nowMicros);
    for (PriorityClass priority : PriorityClass.values()) {
      table.queue(priority).removeIdleTeams();
    }
    dispatcher.dispatch(nowMicros);
  }

  private Optional<RefusalReason> refusal(PeerMessage.Offer offer, Hint hint, long nowMicros) {
    if (isLeaving) {
      return Optional.of(RefusalReason.UPSTREAM_LEAVING);
    }
    Optional<RefusalReason> refusal =
        policy.refusal(offer, hint.matchedBlocks(), hint.queueDelayMicros(), nowMicros);
    if (refusal.isEmpty()
        && offer.rank() > 0
        && prefixes.wouldEvictBlocksInUse(offer.keys(), nowMicros)) {
      counters.increment("offers.refused-for-room");
      return Optional.of(RefusalReason.QUEUE_FULL);
    }
    if (refusal.isEmpty()
        && policy.isQueueFull(offer)
        && !hasDisplacedAttemptFor(offer, nowMicros)) {
      return Optional.of(RefusalReason.QUEUE_FULL);
    }
    return refusal;
  }

  /**
   * Makes space in a full queue by failing the newest attempt of the team with the most queued
   * attempts, if that team has at least two more waiting than the offering team.
   */
  private boolean hasDisplacedAttemptFor(PeerMessage.Offer offer, long nowMicros) {
    String team = offer.identity().team();
    Optional<AdmittedAttempt> newest = table.queue(offer.priority()).newestOfLargestTeam();
    if (newest.isEmpty() || waitingOf(newest.get().team()) <= waitingOf(team) + 1) {
      return false;
    }
    long retryAt = nowMicros + estimator.queueDelayMicros(newest.get().team(), offer.priority());
    terminator.fail(
        newest.get(),
        RefusalReason.QUEUE_FULL,
        "The queue was full and other teams had fewer attempts in it.",
        retryAt,
        nowMicros);
    return true;
  }

  private int waitingOf(String team) {
    return table
        .matching(open -> open.team().equals(team) && !open.is(AdmittedAttempt.Stage.RUNNING))
        .size();
  }

  private void refuse(
      String router,
      PeerMessage.Offer offer,
      RefusalReason reason,
      Hint hint,
      AttemptRecord record,
      long nowMicros) {
    long retryAt =
        policy.retryAtMicros(
            reason, offer, hint.matchedBlocks(), hint.queueDelayMicros(), nowMicros);
    record.recordEnd(reason.code(), Outcome.NOT_RUN, nowMicros);
    counters.increment("refusals." + reason.code());
    outbox.send(
        router, new PeerMessage.OfferReply(offer.attempt(), Optional.of(reason), hint, retryAt));
  }

  private void failUnreserved(String router, PeerMessage.Submit submit) {
    counters.increment("submits.without-reservation");
    Outcome outcome =
        history.find(submit.attempt()).map(AttemptRecord::outcome).orElse(Outcome.NOT_RUN);
    Outcome reported = outcome == Outcome.NOT_RUN ? Outcome.NOT_RUN : Outcome.UNKNOWN;
    RefusalReason reason = isLeaving ? RefusalReason.UPSTREAM_LEAVING : RefusalReason.NO_UPSTREAM;
    outbox.send(
        router,
        new PeerMessage.Failed(
            submit.attempt(), reason, reported, "The attempt has no reservation.", 0));
  }

  private boolean isOfMissingVersion(AdmittedAttempt attempt) {
    return !engine.ready().contains(attempt.offer().identity().modelVersion());
  }

  private void failQueued(
      Predicate<AdmittedAttempt> condition, RefusalReason reason, long nowMicros) {
    List<AdmittedAttempt> waiting =
        table.matching(open -> open.is(AdmittedAttempt.Stage.QUEUED) && condition.test(open));
    for (AdmittedAttempt attempt : waiting) {
      terminator.fail(attempt, reason, "The upstream cannot run queued attempts.", 0, nowMicros);
    }
  }

  private void expire(long nowMicros) {
    for (AdmittedAttempt attempt : table.matching(open -> isExpired(open, nowMicros))) {
      if (attempt.is(AdmittedAttempt.Stage.RESERVED)) {
        terminator.drop(attempt, "reservation-expired", nowMicros);
      } else {
        terminator.fail(
            attempt,
            RefusalReason.DEADLINE_PASSED,
            "The deadline passed in the queue.",
            0,
            nowMicros);
      }
    }
  }

  private static boolean isExpired(AdmittedAttempt attempt, long nowMicros) {
    return switch (attempt.stage()) {
      case RESERVED -> attempt.reservedUntilMicros() <= nowMicros;
      case QUEUED -> !attempt.hasDelivered() && attempt.offer().deadlineMicros() <= nowMicros;
      case RUNNING, OVER -> false;
    };
  }
}
