package org.shallothook.coordination.admission;

import java.util.List;
import java.util.Optional;
import org.shallothook.coordination.engine.EngineMonitor;
import org.shallothook.coordination.port.Counters;
import org.shallothook.coordination.sidecar.SidecarCommand;
import org.shallothook.coordination.sidecar.SidecarOptions;
import org.shallothook.coordination.sidecar.SidecarOutbox;
import org.shallothook.state.configuration.PriorityClass;
import org.shallothook.state.request.RefusalReason;

/**
 * Gives the engine what it can batch now, and keeps the rest in the queues.
 *
 * <p>Invariants: never more runs than the engine's slots; a crash suspect runs alone; nothing is
 * started after its deadline. Not thread-safe: used on the decision thread.
 */
final class Dispatcher {
  private static final int MAXIMUM_SUSPECTS_IN_A_ROW = 4;
  private static final long EVICTION_INTERVAL_MICROS = 200_000;

  private final SidecarOptions options;
  private final SidecarOutbox outbox;
  private final Counters counters;
  private final EngineMonitor engine;
  private final AttemptTable table;
  private final ServiceEstimator estimator;
  private final PrefixSupply prefixes;
  private final AttemptEnds ends;
  private final BackgroundRun background;
  private long nextEvictionMicros = Long.MIN_VALUE;
  private boolean isStalled;
  private long suspectSinceMicros = Long.MAX_VALUE;
  private int suspectsInARow;

  Dispatcher(
      SidecarOptions options,
      SidecarOutbox outbox,
      Counters counters,
      EngineMonitor engine,
      AttemptTable table,
      ServiceEstimator estimator,
      PrefixSupply prefixes,
      AttemptEnds ends,
      BackgroundRun background) {
    this.options = options;
    this.outbox = outbox;
    this.counters = counters;
    this.engine = engine;
    this.table = table;
    this.estimator = estimator;
    this.prefixes = prefixes;
    this.ends = ends;
    this.background = background;
  }

  /** Stops dispatching until the engine has reported its state. */
  void stall() {
    isStalled = true;
  }

  /** Dispatches again after a report of the engine. */
  void unstall() {
    isStalled = false;
  }

  boolean isStalled() {
    return isStalled;
  }

  /** Starts all that can start now. */
  void dispatch(long nowMicros) {
    if (isStalled || !engine.isReachable()) {
      return;
    }
    if (isPriorityUnread()) {
      stopLongPrefills(nowMicros);
    }
    Optional<AdmittedAttempt> next = next(nowMicros);
    while (next.isPresent()) {
      startInTime(next.get(), nowMicros);
      next = next(nowMicros);
    }
  }

  private Optional<AdmittedAttempt> next(long nowMicros) {
    Optional<AdmittedAttempt> candidate = candidate(nowMicros);
    boolean isUrgent =
        candidate
            .filter(attempt -> attempt.priority() == PriorityClass.PRIORITY && !attempt.isSuspect())
            .isPresent();
    if (isHeldByRunningSuspect(isUrgent)) {
      return Optional.empty();
    }
    if (!isUrgent && isSuspectDue(candidate, nowMicros)) {
      return nextSuspect(nowMicros);
    }
    if (candidate.isEmpty() || table.running().size() < engine.maximumRunning()) {
      return candidate;
    }
    return candidate.filter(attempt -> hasMadeWayFor(attempt, nowMicros));
  }

  /** Returns whether a suspect runs, after it has made way for urgent work where it may. */
  private boolean isHeldByRunningSuspect(boolean isUrgent) {
    Optional<AdmittedAttempt> running =
        table.running().stream().filter(AdmittedAttempt::isSuspect).findFirst();
    boolean givesWay =
        isUrgent
            && running
                .filter(suspect -> suspect.priority() == PriorityClass.ORDINARY)
                .filter(suspect -> suspect.preemptions() < options.maximumPreemptions())
                .isPresent();
    if (givesWay) {
      preempt(running.get(), "preemptions.priority");
    }
    return running.isPresent() && !givesWay;
  }

  private Optional<AdmittedAttempt> candidate(long nowMicros) {
    PriorityClass first = SlotPolicy.firstClass(table, options, engine.maximumRunning());
    Optional<AdmittedAttempt> candidate = candidateOf(first, nowMicros);
    if (candidate.isPresent()) {
      return candidate;
    }
    return candidateOf(
        first == PriorityClass.PRIORITY ? PriorityClass.ORDINARY : PriorityClass.PRIORITY,
        nowMicros);
  }

  private Optional<AdmittedAttempt> candidateOf(PriorityClass priority, long nowMicros) {
    if (estimator.prefills(priority) >= options.maximumPrefills()) {
      return Optional.empty();
    }
    Optional<AdmittedAttempt> candidate = nextEligible(priority, nowMicros);
    while (candidate.isPresent() && isFetching(candidate.get(), nowMicros)) {
      candidate = nextEligible(priority, nowMicros);
    }
    return candidate;
  }

  private Optional<AdmittedAttempt> nextEligible(PriorityClass priority, long nowMicros) {
    return table.queue(priority).next(attempt -> isEligible(attempt, nowMicros));
  }

  /** Fetches what was evicted while the request waited, rather than have it computed. */
  private boolean isFetching(AdmittedAttempt attempt, long nowMicros) {
    if (prefixes.wouldEvictUsed(attempt.keys(), nowMicros)) {
      nextEvictionMicros = nowMicros + EVICTION_INTERVAL_MICROS;
    }
    return prefixes.hasFetchedFor(attempt.offer(), estimator.prefillMicros(1), nowMicros);
  }

  private boolean isEligible(AdmittedAttempt attempt, long nowMicros) {
    return engine.ready().contains(attempt.offer().identity().modelVersion())
        && !prefixes.isAwaited(attempt.keys(), nowMicros)
        && !isHeldForRoom(attempt, nowMicros);
  }

  /**
   * Returns whether a ticket waits so that those whose blocks are cached are served before what it
   * misses evicts them.
   */
  private boolean isHeldForRoom(AdmittedAttempt attempt, long nowMicros) {
    return nowMicros < nextEvictionMicros
        && attempt.priority() == PriorityClass.ORDINARY
        && !table.running().isEmpty()
        && prefixes.wouldEvictUsed(attempt.keys(), nowMicros);
  }

  private boolean isSuspectDue(Optional<AdmittedAttempt> candidate, long nowMicros) {
    boolean isNextInARow =
        table.running().isEmpty()
            && suspectsInARow > 0
            && suspectsInARow < MAXIMUM_SUSPECTS_IN_A_ROW
            && queuedSuspect(nowMicros).isPresent();
    if (isNextInARow || candidate.filter(AdmittedAttempt::isSuspect).isPresent()) {
      suspectSinceMicros = Math.min(suspectSinceMicros, nowMicros);
    }
    return suspectSinceMicros != Long.MAX_VALUE;
  }

  /** Waits for the running streams, but for ordinary ones no longer than the options allow. */
  private Optional<AdmittedAttempt> nextSuspect(long nowMicros) {
    Optional<AdmittedAttempt> suspect = queuedSuspect(nowMicros);
    if (suspect.isEmpty()) {
      suspectSinceMicros = Long.MAX_VALUE;
      return next(nowMicros);
    }
    if (nowMicros - suspectSinceMicros >= options.suspectDrainMicros()) {
      preemptOrdinary();
    }
    if (!table.running().isEmpty()) {
      return Optional.empty();
    }
    suspectSinceMicros = Long.MAX_VALUE;
    return suspect;
  }

  private void preemptOrdinary() {
    for (AdmittedAttempt attempt : List.copyOf(table.running())) {
      if (attempt.priority() == PriorityClass.ORDINARY) {
        preempt(attempt, "preemptions.suspect");
      }
    }
  }

  private Optional<AdmittedAttempt> queuedSuspect(long nowMicros) {
    for (PriorityClass priority : PriorityClass.values()) {
      Optional<AdmittedAttempt> suspect =
          table
              .queue(priority)
              .next(attempt -> attempt.isSuspect() && isEligible(attempt, nowMicros));
      if (suspect.isPresent()) {
        return suspect;
      }
    }
    return Optional.empty();
  }

  private boolean hasMadeWayFor(AdmittedAttempt attempt, long nowMicros) {
    if (attempt.priority() != PriorityClass.PRIORITY || isLate(attempt, nowMicros)) {
      return isLate(attempt, nowMicros);
    }
    Optional<AdmittedAttempt> victim = SlotPolicy.victim(table, options, engine.maximumRunning());
    victim.ifPresent(stream -> preempt(stream, "preemptions.priority"));
    return victim.isPresent();
  }

  private void preempt(AdmittedAttempt attempt, String counter) {
    outbox.command(new SidecarCommand.CancelAnswer(attempt.run()));
    prefixes.onRunEnded(attempt.run());
    table.preempt(attempt);
    attempt.record().notePreempted();
    counters.increment(counter);
  }

  private static boolean isLate(AdmittedAttempt attempt, long nowMicros) {
    return !attempt.hasDelivered() && attempt.offer().deadlineMicros() <= nowMicros;
  }

  private void startInTime(AdmittedAttempt attempt, long nowMicros) {
    int units = estimator.unitsOf(attempt);
    if (isLate(attempt, nowMicros)) {
      ends.fail(
          attempt,
          RefusalReason.DEADLINE_PASSED,
          "The deadline passed in the queue.",
          0,
          nowMicros);
      return;
    }
    if (cannotMeetDeadline(attempt, units, nowMicros)) {
      ends.fail(
          attempt,
          RefusalReason.DEADLINE_UNREACHABLE,
          "The prompt cannot be read before the deadline.",
          nowMicros + estimator.queueDelayMicros(attempt.team(), attempt.priority()),
          nowMicros);
      return;
    }
    if (attempt.priority() == PriorityClass.PRIORITY) {
      stopLongPrefills(nowMicros);
    }
    start(attempt, units, nowMicros);
  }

  /** Returns whether the engine has been given priority work that it has not read yet. */
  private boolean isPriorityUnread() {
    return table.running().stream()
        .anyMatch(
            attempt -> attempt.priority() == PriorityClass.PRIORITY && !attempt.hasTokenOfRun());
  }

  /** Takes back ordinary prompts that would keep priority work waiting on the engine. */
  private void stopLongPrefills(long nowMicros) {
    for (AdmittedAttempt attempt : List.copyOf(table.running())) {
      boolean isStopped =
          attempt.priority() == PriorityClass.ORDINARY
              && !attempt.hasTokenOfRun()
              && attempt.preemptions() < options.maximumPreemptions()
              && isLongPrefill(attempt, nowMicros);
      if (isStopped) {
        preempt(attempt, "preemptions.prefill");
      }
    }
  }

  /** An overdue prompt has more to be read than was known, so its end cannot be told. */
  private boolean isLongPrefill(AdmittedAttempt attempt, long nowMicros) {
    long remainingMicros = estimator.remainingPrefillMicros(attempt, nowMicros);
    return Math.abs(remainingMicros) > options.prefillYieldMicros();
  }

  private boolean cannotMeetDeadline(AdmittedAttempt attempt, int units, long nowMicros) {
    if (attempt.hasDelivered() || table.running().isEmpty()) {
      return false;
    }
    int unitsAhead = estimator.unitsInPrefill(attempt.priority());
    return nowMicros + estimator.prefillMicros(units + unitsAhead)
        > attempt.offer().deadlineMicros();
  }

  /** Takes work that no caller waits for back where it would be in the way. */
  private void clearBackground(AdmittedAttempt attempt) {
    boolean isInTheWay =
        attempt.priority() == PriorityClass.PRIORITY
            || attempt.isSuspect()
            || table.running().size() + 1 >= engine.maximumRunning();
    if (isInTheWay && background.isRunning()) {
      background.yieldToCallers();
    }
  }

  private void start(AdmittedAttempt attempt, int units, long nowMicros) {
    clearBackground(attempt);
    suspectsInARow = attempt.isSuspect() ? suspectsInARow + 1 : 0;
    int unitsAhead = estimator.unitsInPrefill(attempt.priority());
    table.start(attempt, estimator.costOf(attempt, units), units, unitsAhead, nowMicros);
    attempt.record().noteStarted(nowMicros);
    long expectedMicros = estimator.prefillMicros(units + unitsAhead);
    prefixes.onStarted(attempt.run(), attempt.keys(), expectedMicros, nowMicros);
    outbox.command(
        new SidecarCommand.StartAnswer(
            attempt.run(),
            attempt.offer().identity(),
            attempt.priority(),
            attempt.keys(),
            attempt.prompt(),
            attempt.deliveredText(),
            attempt.position(),
            attempt.offer().maximumOutputTokens()));
  }
}
