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
 * Admission at one engine, from offers to the ends of their attempts.
 *
 * <p>Invariants: every submitted attempt is answered with an end or a failure, unless its router
 * gave it up; nothing new is taken while leaving. Not thread-safe: used on the decision thread.
 */
public final class Admission {
  private static final int FAILURES_BEFORE_HAND_BACK = 2;
  private static final int SPARE_SLOT_PARTS = 4;

  private final SidecarOptions options;
  private final SidecarOutbox outbox;
  private final Counters counters;
  private final EngineMonitor engine;
  private final PrefixSupply prefixes;
  private final AttemptTable table = new AttemptTable();
  private final AttemptHistory history = new AttemptHistory();
  private final QuarantineList quarantine = new QuarantineList();
  private final ServiceEstimator estimator;
  private final OfferPolicy policy;
  private final AttemptEnds ends;
  private final CrashAttribution crashes;
  private final Dispatcher dispatcher;
  private final StreamRelay relay;
  private boolean isLeaving;

  /** Creates the admission of an engine without work. */
  public Admission(
      SidecarOptions options,
      SidecarOutbox outbox,
      Counters counters,
      EngineMonitor engine,
      PrefixSupply prefixes,
      BackgroundRun background) {
    this.options = options;
    this.outbox = outbox;
    this.counters = counters;
    this.engine = engine;
    this.prefixes = prefixes;
    estimator = new ServiceEstimator(options, engine, table, prefixes);
    policy = new OfferPolicy(options, engine, table, estimator, quarantine);
    ends = new AttemptEnds(outbox, counters, table, prefixes);
    crashes = new CrashAttribution(table, ends);
    dispatcher =
        new Dispatcher(
            options, outbox, counters, engine, table, estimator, prefixes, ends, background);
    relay = new StreamRelay(options, outbox, counters, table, estimator, prefixes, ends, crashes);
  }

  /** Returns whether no attempt is open. */
  public boolean isIdle() {
    return table.isEmpty();
  }

  /**
   * Returns whether the engine has time for work that no caller waits for: it is reading no prompt,
   * and a quarter of its slots are free.
   */
  public boolean hasSpareTime() {
    int freeSlots = engine.maximumRunning() - running();
    return engine.isReachable()
        && !isLeaving
        && !dispatcher.isStalled()
        && freeSlots * SPARE_SLOT_PARTS >= engine.maximumRunning()
        && estimator.prefills(PriorityClass.ORDINARY) == 0
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

  /** Returns the number of attempts that wait, reservations included. */
  public int waiting() {
    return table.size() - table.running().size();
  }

  /** Returns the expected time until new ordinary work would start, in microseconds. */
  public long queueDelayMicros() {
    return estimator.queueDelayMicros("", PriorityClass.ORDINARY);
  }

  /** Returns the mean time of an answer on the engine, in microseconds. */
  public long streamMicros() {
    return estimator.streamMicros();
  }

  /** Returns the records of the latest attempts. */
  public AttemptHistory history() {
    return history;
  }

  /**
   * Answers an offer.
   *
   * @param router router that made it
   * @param offer the offer
   * @param spread spread of the offer's deepest hot prefix
   * @param nowMicros time of its arrival
   * @return whether the offer has a place
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
  public Optional<PeerMessage.Offer> reservedOffer(AttemptId attempt) {
    return table
        .find(attempt)
        .filter(ticket -> ticket.is(AdmittedAttempt.Stage.RESERVED))
        .map(AdmittedAttempt::offer);
  }

  /** Replaces the keys that were offered for an attempt by those of its prompt. */
  public void setKeys(AttemptId attempt, List<BlockKey> keys) {
    table
        .find(attempt)
        .filter(ticket -> ticket.is(AdmittedAttempt.Stage.RESERVED))
        .ifPresent(ticket -> ticket.setKeys(keys));
  }

  /**
   * Queues an attempt that has a reservation.
   *
   * @return the offer of the attempt, if it was queued
   */
  public Optional<PeerMessage.Offer> onSubmit(
      String router, PeerMessage.Submit submit, long nowMicros) {
    Optional<AdmittedAttempt> found = table.find(submit.attempt());
    if (found.isEmpty()) {
      refuseUnknown(router, submit);
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

  /** Gives up an attempt. */
  public void onCancel(PeerMessage.Cancel cancel, long nowMicros) {
    table.find(cancel.attempt()).ifPresent(ticket -> ends.drop(ticket, "cancelled", nowMicros));
    dispatcher.dispatch(nowMicros);
  }

  /** Notes how far a caller has read. */
  public void onConsumed(PeerMessage.Consumed message) {
    relay.onConsumed(message);
  }

  /** Keeps a request from running here until a deadline. */
  public void onQuarantine(PeerMessage.Quarantine message) {
    quarantine.add(message.fingerprint(), message.untilMicros());
  }

  /** Gives up all attempts of a router that is gone. */
  public void onRouterGone(String router, long nowMicros) {
    for (AdmittedAttempt ticket : table.matching(open -> open.router().equals(router))) {
      ends.drop(ticket, "router-gone", nowMicros);
    }
    dispatcher.dispatch(nowMicros);
  }

  /** Passes tokens of the engine on. */
  public void onTokens(SidecarEvent.EngineTokens event, long nowMicros) {
    if (relay.onTokens(event, nowMicros)) {
      dispatcher.dispatch(nowMicros);
    }
  }

  /** Ends an answer that is complete. */
  public void onEnded(SidecarEvent.EngineEnded event, long nowMicros) {
    relay.onEnded(event, nowMicros);
    dispatcher.dispatch(nowMicros);
  }

  /** Takes the engine's refusal of a run, or its loss. */
  public void onFailed(SidecarEvent.EngineFailed event, long nowMicros) {
    if (relay.onFailed(event, nowMicros)) {
      dispatcher.stall();
      engine.readNow(nowMicros);
    }
  }

  /** Reacts to a report of the engine, which the monitor has taken already. */
  public void onEngineStatus(Set<EngineChange> changes, long nowMicros) {
    if (changes.contains(EngineChange.INCARNATION)) {
      crashes.onAllLost(nowMicros);
    } else {
      crashes.onEngineAlive(nowMicros);
    }
    if (changes.contains(EngineChange.VERSION_REMOVED)) {
      handBack(this::isOfMissingVersion, RefusalReason.WRONG_VERSION, nowMicros);
    }
    dispatcher.unstall();
    dispatcher.dispatch(nowMicros);
  }

  /** Reacts to an engine that does not answer. */
  public void onEngineUnreachable(long nowMicros) {
    boolean hasLostStreams = crashes.isWaiting();
    crashes.onEngineLost(nowMicros);
    if (!hasLostStreams && engine.consecutiveFailures() < FAILURES_BEFORE_HAND_BACK) {
      return;
    }
    handBack(ticket -> ticket.runs() == 0, RefusalReason.NO_UPSTREAM, nowMicros);
    handBack(ticket -> true, RefusalReason.ENGINE_LOST, nowMicros);
  }

  /** Starts what waited for blocks that are cached now. */
  public void onPrefixesChanged(long nowMicros) {
    dispatcher.dispatch(nowMicros);
  }

  /** Takes no new work any more, hands back what has not started, and lets the rest finish. */
  public void leave(long nowMicros) {
    isLeaving = true;
    handBack(ticket -> ticket.runs() == 0, RefusalReason.UPSTREAM_LEAVING, nowMicros);
    for (AdmittedAttempt ticket : table.matching(open -> open.is(AdmittedAttempt.Stage.RESERVED))) {
      ends.fail(ticket, RefusalReason.UPSTREAM_LEAVING, "The upstream is leaving.", 0, nowMicros);
    }
  }

  /** Takes new work again. */
  public void onStay() {
    isLeaving = false;
  }

  /** Ends what has waited too long and starts what can start. */
  public void onTick(long nowMicros) {
    crashes.onTick(nowMicros);
    if (engine.isLost(nowMicros) && running() > 0) {
      crashes.onAllLost(nowMicros);
    }
    expire(nowMicros);
    quarantine.onTick(nowMicros);
    for (PriorityClass priority : PriorityClass.values()) {
      table.queue(priority).forgetIdleTeams();
    }
    dispatcher.dispatch(nowMicros);
  }

  private Optional<RefusalReason> refusal(PeerMessage.Offer offer, Hint hint, long nowMicros) {
    if (isLeaving) {
      return Optional.of(RefusalReason.UPSTREAM_LEAVING);
    }
    Optional<RefusalReason> refusal =
        policy.refusal(offer, hint.matchedBlocks(), hint.queueDelayMicros(), nowMicros);
    if (refusal.isEmpty() && offer.rank() > 0 && prefixes.wouldEvictUsed(offer.keys(), nowMicros)) {
      counters.increment("offers.refused-for-room");
      return Optional.of(RefusalReason.QUEUE_FULL);
    }
    if (refusal.isEmpty() && policy.isQueueFull(offer) && !hasDisplacedFor(offer, nowMicros)) {
      return Optional.of(RefusalReason.QUEUE_FULL);
    }
    return refusal;
  }

  /** Makes room in a full queue for a team that waits with less than the longest has. */
  private boolean hasDisplacedFor(PeerMessage.Offer offer, long nowMicros) {
    String team = offer.identity().team();
    Optional<AdmittedAttempt> newest = table.queue(offer.priority()).newestOfLongest();
    if (newest.isEmpty() || waitingOf(newest.get().team()) <= waitingOf(team) + 1) {
      return false;
    }
    long retryAt = nowMicros + estimator.queueDelayMicros(newest.get().team(), offer.priority());
    ends.fail(
        newest.get(),
        RefusalReason.QUEUE_FULL,
        "The queue was full and other teams had less in it.",
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
    record.noteEnd(reason.code(), Outcome.NOT_RUN, nowMicros);
    counters.increment("refusals." + reason.code());
    outbox.send(
        router, new PeerMessage.OfferReply(offer.attempt(), Optional.of(reason), hint, retryAt));
  }

  private void refuseUnknown(String router, PeerMessage.Submit submit) {
    counters.increment("submits.without-reservation");
    Outcome outcome =
        history.find(submit.attempt()).map(AttemptRecord::outcome).orElse(Outcome.NOT_RUN);
    Outcome truthful = outcome == Outcome.NOT_RUN ? Outcome.NOT_RUN : Outcome.UNKNOWN;
    RefusalReason reason = isLeaving ? RefusalReason.UPSTREAM_LEAVING : RefusalReason.NO_UPSTREAM;
    outbox.send(
        router,
        new PeerMessage.Failed(
            submit.attempt(), reason, truthful, "The attempt has no reservation.", 0));
  }

  private boolean isOfMissingVersion(AdmittedAttempt ticket) {
    return !engine.ready().contains(ticket.offer().identity().modelVersion());
  }

  private void handBack(
      Predicate<AdmittedAttempt> condition, RefusalReason reason, long nowMicros) {
    List<AdmittedAttempt> waiting =
        table.matching(open -> open.is(AdmittedAttempt.Stage.QUEUED) && condition.test(open));
    for (AdmittedAttempt ticket : waiting) {
      ends.fail(ticket, reason, "The upstream cannot run what waits.", 0, nowMicros);
    }
  }

  private void expire(long nowMicros) {
    for (AdmittedAttempt ticket : table.matching(open -> isExpired(open, nowMicros))) {
      if (ticket.is(AdmittedAttempt.Stage.RESERVED)) {
        ends.drop(ticket, "reservation-expired", nowMicros);
      } else {
        ends.fail(
            ticket,
            RefusalReason.DEADLINE_PASSED,
            "The deadline passed in the queue.",
            0,
            nowMicros);
      }
    }
  }

  private static boolean isExpired(AdmittedAttempt ticket, long nowMicros) {
    return switch (ticket.stage()) {
      case RESERVED -> ticket.reservedUntilMicros() <= nowMicros;
      case QUEUED -> !ticket.hasDelivered() && ticket.offer().deadlineMicros() <= nowMicros;
      case RUNNING, OVER -> false;
    };
  }
}
