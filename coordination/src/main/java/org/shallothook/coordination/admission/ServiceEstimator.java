package org.shallothook.coordination.admission;

import org.shallothook.coordination.engine.EngineMonitor;
import org.shallothook.coordination.sidecar.SidecarOptions;
import org.shallothook.state.configuration.PriorityClass;

/**
 * Estimates delays at this engine from its recently measured times and the attempts at this
 * sidecar.
 *
 * <p>The engine's load reports lag behind and are not used. Prefill work is counted in units: one
 * for each missing block of a prompt and one for its partial last block.
 *
 * <p>Not thread-safe: used on the decision thread.
 */
final class ServiceEstimator {
  private static final int BYTES_PER_TOKEN = 4;
  private static final double SMOOTHING_FACTOR = 0.1;

  private final SidecarOptions options;
  private final EngineMonitor engine;
  private final AttemptTable table;
  private final PrefixAvailability prefixes;
  private double microsPerUnit;
  private double streamMicros;
  private double unitsPerPrompt = 1;

  ServiceEstimator(
      SidecarOptions options,
      EngineMonitor engine,
      AttemptTable table,
      PrefixAvailability prefixes) {
    this.options = options;
    this.engine = engine;
    this.table = table;
    this.prefixes = prefixes;
    this.microsPerUnit = options.prefillMicrosPerBlock();
    this.streamMicros = options.streamMicros();
  }

  /** Returns the prefill units of an attempt if it were started now. */
  int unitsOf(AdmittedAttempt attempt) {
    return unitsFor(attempt.keys().size(), prefixes.matchedBlocks(attempt.keys()));
  }

  /** Returns the prefill units of a prompt. */
  static int unitsFor(int blocks, int matchedBlocks) {
    return blocks - matchedBlocks + 1;
  }

  /** Returns the expected duration of a prefill on an idle engine, in microseconds. */
  long prefillMicros(int units) {
    return (long) (units * microsPerUnit);
  }

  /** Returns the mean duration of a run on the engine, in microseconds. */
  long streamMicros() {
    return (long) streamMicros;
  }

  /** Returns the cost that a team is charged for an attempt, in tokens. */
  double costOf(AdmittedAttempt attempt, int units) {
    int blockTokens = options.blockBytes() / BYTES_PER_TOKEN;
    int outputTokens = attempt.offer().maximumOutputTokens() - attempt.position();
    return (double) units * blockTokens + Math.max(0, outputTokens);
  }

  /**
   * Returns the prefill units of running attempts without a token yet, of a priority class or ahead
   * of it.
   */
  int runningPrefillUnits(PriorityClass priority) {
    int units = 0;
    for (AdmittedAttempt attempt : table.running()) {
      boolean isIncluded = !priority.isAheadOf(attempt.priority());
      units += isIncluded && !attempt.hasTokenOfRun() ? attempt.prefillUnits() : 0;
    }
    return units;
  }

  /**
   * Returns the number of running attempts without a token yet, of a priority class or ahead of it.
   */
  int runningPrefills(PriorityClass priority) {
    int count = 0;
    for (AdmittedAttempt attempt : table.running()) {
      boolean isIncluded = !priority.isAheadOf(attempt.priority());
      count += isIncluded && !attempt.hasTokenOfRun() ? 1 : 0;
    }
    return count;
  }

  /**
   * Returns the expected remaining prefill time of a run, in microseconds: at most the duration of
   * its own prefill, and negative if it is overdue.
   */
  long remainingPrefillMicros(AdmittedAttempt attempt, long nowMicros) {
    long own = prefillMicros(attempt.prefillUnits());
    long ahead = prefillMicros(attempt.prefillUnitsAhead());
    return Math.min(own, attempt.runStartedMicros() + own + ahead - nowMicros);
  }

  /** Returns the expected queue delay of new work of a team, in microseconds. */
  long queueDelayMicros(String team, PriorityClass priority) {
    int ahead = aheadOf(team, priority);
    int free = engine.maximumRunning() - unavailableSlots(priority);
    double units = runningPrefillUnits(priority) + ahead * unitsPerPrompt;
    return (long) Math.max(slotDelayMicros(ahead, free), units * microsPerUnit);
  }

  /** Updates the prefill estimates from the first token of a run. */
  void onFirstToken(AdmittedAttempt attempt, long nowMicros) {
    double units = attempt.prefillUnits() + attempt.prefillUnitsAhead();
    microsPerUnit = movingAverage(microsPerUnit, (nowMicros - attempt.runStartedMicros()) / units);
    unitsPerPrompt = movingAverage(unitsPerPrompt, attempt.prefillUnits());
  }

  /** Updates the mean run duration from a completed attempt that ran only once. */
  void onEnded(AdmittedAttempt attempt, long nowMicros) {
    if (attempt.runs() == 1) {
      streamMicros = movingAverage(streamMicros, (double) (nowMicros - attempt.runStartedMicros()));
    }
  }

  private double slotDelayMicros(int ahead, int free) {
    double delay = 0;
    if (ahead >= free) {
      delay = (ahead - free + 1) * streamMicros / Math.max(1, engine.maximumRunning());
    }
    return hasRunningSuspect() ? Math.max(delay, streamMicros) : delay;
  }

  private boolean hasRunningSuspect() {
    return table.running().stream().anyMatch(AdmittedAttempt::isSuspect);
  }

  private int aheadOf(String team, PriorityClass priority) {
    int ahead = table.queue(priority).aheadOf(team) + table.reservedOf(priority);
    for (PriorityClass other : PriorityClass.values()) {
      ahead += other.isAheadOf(priority) ? table.waitingOf(other) : 0;
    }
    return ahead;
  }

  private int unavailableSlots(PriorityClass priority) {
    int slots = table.running().size();
    if (priority == PriorityClass.PRIORITY) {
      int minimumOrdinary = SlotPolicy.minimumOrdinarySlots(options, engine.maximumRunning());
      slots -= Math.max(0, table.runningOf(PriorityClass.ORDINARY) - minimumOrdinary);
    }
    return slots;
  }

  private static double movingAverage(double mean, double latest) {
    return mean + SMOOTHING_FACTOR * (latest - mean);
  }
}
