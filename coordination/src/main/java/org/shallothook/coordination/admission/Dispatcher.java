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
 * Starts as many queued attempts as the engine can batch, preempting runs where needed.
 *
 * <p>Invariants: there are never more runs than the engine has slots; a crash suspect runs alone;
 * no attempt is started after its deadline, unless it has already delivered tokens. Not
 * thread-safe: used on the decision thread.
 */
final class Dispatcher {
  private static final int MAXIMUM_CONSECUTIVE_SUSPECTS = 4;
  private static final long EVICTION_INTERVAL_MICROS = 200_000;

  private final SidecarOptions options;
  private final SidecarOutbox outbox;
  private final Counters counters;
  private final EngineMonitor engine;
  private final AttemptTable table;
  private final ServiceEstimator estimator;
  private final PrefixAvailability prefixes;
  private final AttemptTerminator terminator;
  private final BackgroundRun background;
  private long nextEvictionMicros = Long.MIN_VALUE;
  private boolean isSuspended;
  private long suspectDueSinceMicros = Long.MAX_VALUE;
  private int consecutiveSuspects;

  Dispatcher(
      SidecarOptions options,
      SidecarOutbox outbox,
      Counters counters,
      EngineMonitor engine,
      AttemptTable table,
      ServiceEstimator estimator,
      PrefixAvailability prefixes,
      AttemptTerminator terminator,
      BackgroundRun background) {
    this.options = options;
    this.outbox = outbox;
    this.counters = counters;
    this.engine = engine;
    this.table = table;
    this.estimator = estimator;
    this.prefixes = prefixes;
    this.terminator = terminator;
    this.background = background;
  }

  /** Suspends dispatching until the engine has reported its state. */
  void suspend() {
    isSuspended = true;
  }

  /** Resumes dispatching after a report of the engine. */
  void resume() {
    isSuspended = false;
  }

  boolean isSuspended() {
    return isSuspended;
  }

  /** Starts all attempts that can run now. */
  void dispatch(long nowMicros) {
    if (isSuspended || !engine.isReachable()) {
      return;
    }
    if (hasPriorityPrefill()) {
      preemptLongPrefills(nowMicros);
    }
    Optional<AdmittedAttempt> next = next(nowMicros);
    while (next.isPresent()) {
      startOrFail(next.get(), nowMicros);
      next = next(nowMicros);
    }
  }

  private Optional<AdmittedAttempt> next(long nowMicros) {
    Optional<AdmittedAttempt> candidate = candidate(nowMicros);
    boolean isUrgent =
        candidate
            .filter(attempt -> attempt.priority() == PriorityClass.PRIORITY && !attempt.isSuspect())
            .isPresent();
    if (isBlockedByRunningSuspect(isUrgent)) {
      return Optional.empty();
    }
    if (!isUrgent && isSuspectDue(candidate, nowMicros)) {
      return nextSuspect(nowMicros);
    }
    if (candidate.isEmpty() || table.running().size() < engine.maximumRunning()) {
      return candidate;
    }
    return candidate.filter(attempt -> hasFreedSlotFor(attempt, nowMicros));
  }

  /**
   * Returns whether a running suspect blocks other work. An ordinary suspect is preempted by urgent
   * work, but only a limited number of times.
   */
  private boolean isBlockedByRunningSuspect(boolean isUrgent) {
    Optional<AdmittedAttempt> running =
        table.running().stream().filter(AdmittedAttempt::isSuspect).findFirst();
    boolean isPreempted =
        isUrgent
            && running
                .filter(suspect -> suspect.priority() == PriorityClass.ORDINARY)
                .filter(suspect -> suspect.preemptions() < options.maximumPreemptions())
                .isPresent();
    if (isPreempted) {
      preempt(running.get(), "preemptions.priority");
    }
    return running.isPresent() && !isPreempted;
  }

  private Optional<AdmittedAttempt> candidate(long nowMicros) {
    PriorityClass first = SlotPolicy.preferredClass(table, options, engine.maximumRunning());
    Optional<AdmittedAttempt> candidate = candidateOf(first, nowMicros);
    if (candidate.isPresent()) {
      return candidate;
    }
    return candidateOf(
        first == PriorityClass.PRIORITY ? PriorityClass.ORDINARY : PriorityClass.PRIORITY,
        nowMicros);
  }

  private Optional<AdmittedAttempt> candidateOf(PriorityClass priority, long nowMicros) {
    if (estimator.runningPrefills(priority) >= options.maximumPrefills()) {
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

  /** Fetches blocks that were evicted while the request waited, instead of computing them. */
  private boolean isFetching(AdmittedAttempt attempt, long nowMicros) {
    if (prefixes.wouldEvictBlocksInUse(attempt.keys(), nowMicros)) {
      nextEvictionMicros = nowMicros + EVICTION_INTERVAL_MICROS;
    }
    return prefixes.hasStartedFetch(attempt.offer(), estimator.prefillMicros(1), nowMicros);
  }

  private boolean isEligible(AdmittedAttempt attempt, long nowMicros) {
    return engine.ready().contains(attempt.offer().identity().modelVersion())
        && !prefixes.isNextBlockPending(attempt.keys(), nowMicros)
        && !isDelayedToAvoidEviction(attempt, nowMicros);
  }

  /**
   * Returns whether an attempt is delayed, so that attempts whose blocks are cached run before its
   * missing blocks evict them.
   */
  private boolean isDelayedToAvoidEviction(AdmittedAttempt attempt, long nowMicros) {
    return nowMicros < nextEvictionMicros
        && attempt.priority() == PriorityClass.ORDINARY
        && !table.running().isEmpty()
        && prefixes.wouldEvictBlocksInUse(attempt.keys(), nowMicros);
  }

  private boolean isSuspectDue(Optional<AdmittedAttempt> candidate, long nowMicros) {
    boolean continuesSeries =
        table.running().isEmpty()
            && consecutiveSuspects > 0
            && consecutiveSuspects < MAXIMUM_CONSECUTIVE_SUSPECTS
            && queuedSuspect(nowMicros).isPresent();
    if (continuesSeries || candidate.filter(AdmittedAttempt::isSuspect).isPresent()) {
      suspectDueSinceMicros = Math.min(suspectDueSinceMicros, nowMicros);
    }
    return suspectDueSinceMicros != Long.MAX_VALUE;
  }

  /**
   * Returns the next suspect once the engine is empty. Ordinary runs that have not ended within the
   * drain time are preempted; priority runs are not.
   */
  private Optional<AdmittedAttempt> nextSuspect(long nowMicros) {
    Optional<AdmittedAttempt> suspect = queuedSuspect(nowMicros);
    if (suspect.isEmpty()) {
      suspectDueSinceMicros = Long.MAX_VALUE;
      return next(nowMicros);
    }
    if (nowMicros - suspectDueSinceMicros >= options.suspectDrainMicros()) {
      preemptOrdinary();
    }
    if (!table.running().isEmpty()) {
      return Optional.empty();
    }
    suspectDueSinceMicros = Long.MAX_VALUE;
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

  /**
   * Preempts an ordinary run if that frees a slot for priority work. An attempt past its deadline
   * needs no slot, because it is failed instead of started.
   */
  private boolean hasFreedSlotFor(AdmittedAttempt attempt, long nowMicros) {
    if (attempt.priority() != PriorityClass.PRIORITY || isPastDeadline(attempt, nowMicros)) {
      return isPastDeadline(attempt, nowMicros);
    }
    Optional<AdmittedAttempt> victim = SlotPolicy.victim(table, options, engine.maximumRunning());
    victim.ifPresent(stream -> preempt(stream, "preemptions.priority"));
    return victim.isPresent();
  }

  private void preempt(AdmittedAttempt attempt, String counter) {
    outbox.command(new SidecarCommand.CancelAnswer(attempt.run()));
    prefixes.onRunEnded(attempt.run());
    table.preempt(attempt);
    attempt.record().recordPreemption();
    counters.increment(counter);
  }

  private static boolean isPastDeadline(AdmittedAttempt attempt, long nowMicros) {
    return !attempt.hasDelivered() && attempt.offer().deadlineMicros() <= nowMicros;
  }

  private void startOrFail(AdmittedAttempt attempt, long nowMicros) {
    int units = estimator.unitsOf(attempt);
    if (isPastDeadline(attempt, nowMicros)) {
      terminator.fail(
          attempt,
          RefusalReason.DEADLINE_PASSED,
          "The deadline passed in the queue.",
          0,
          nowMicros);
      return;
    }
    if (cannotMeetDeadline(attempt, units, nowMicros)) {
      terminator.fail(
          attempt,
          RefusalReason.DEADLINE_UNREACHABLE,
          "The prompt cannot be prefilled before the deadline.",
          nowMicros + estimator.queueDelayMicros(attempt.team(), attempt.priority()),
          nowMicros);
      return;
    }
    if (attempt.priority() == PriorityClass.PRIORITY) {
      preemptLongPrefills(nowMicros);
    }
    start(attempt, units, nowMicros);
  }

  /** Returns whether the engine is running priority work that has no token yet. */
  private boolean hasPriorityPrefill() {
    return table.running().stream()
        .anyMatch(
            attempt -> attempt.priority() == PriorityClass.PRIORITY && !attempt.hasTokenOfRun());
  }

  /** Preempts ordinary runs whose prefill would delay priority work for too long. */
  private void preemptLongPrefills(long nowMicros) {
    for (AdmittedAttempt attempt : List.copyOf(table.running())) {
      boolean isPreempted =
          attempt.priority() == PriorityClass.ORDINARY
              && !attempt.hasTokenOfRun()
              && attempt.preemptions() < options.maximumPreemptions()
              && isLongPrefill(attempt, nowMicros);
      if (isPreempted) {
        preempt(attempt, "preemptions.prefill");
      }
    }
  }

  /**
   * Returns whether a prefill is expected to last longer than the yield limit, or is overdue by
   * more than that. An overdue prefill has more to compute than was known, so its end cannot be
   * predicted.
   */
  private boolean isLongPrefill(AdmittedAttempt attempt, long nowMicros) {
    long remainingMicros = estimator.remainingPrefillMicros(attempt, nowMicros);
    return Math.abs(remainingMicros) > options.prefillYieldMicros();
  }

  private boolean cannotMeetDeadline(AdmittedAttempt attempt, int units, long nowMicros) {
    if (attempt.hasDelivered() || table.running().isEmpty()) {
      return false;
    }
    int unitsAhead = estimator.runningPrefillUnits(attempt.priority());
    return nowMicros + estimator.prefillMicros(units + unitsAhead)
        > attempt.offer().deadlineMicros();
  }

  /**
   * Cancels the background run if it would delay the attempt or occupy the slot that the attempt
   * needs.
   */
  private void preemptBackgroundRun(AdmittedAttempt attempt) {
    boolean mustYield =
        attempt.priority() == PriorityClass.PRIORITY
            || attempt.isSuspect()
            || table.running().size() + 1 >= engine.maximumRunning();
    if (mustYield && background.isRunning()) {
      background.yieldToCallers();
    }
  }

  private void start(AdmittedAttempt attempt, int units, long nowMicros) {
    preemptBackgroundRun(attempt);
    consecutiveSuspects = attempt.isSuspect() ? consecutiveSuspects + 1 : 0;
    int unitsAhead = estimator.runningPrefillUnits(attempt.priority());
    table.start(attempt, estimator.costOf(attempt, units), units, unitsAhead, nowMicros);
    attempt.record().recordStart(nowMicros);
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
