package org.shallothook.coordination.admission;

import org.shallothook.coordination.engine.EngineMonitor;
import org.shallothook.coordination.sidecar.SidecarOptions;
import org.shallothook.state.configuration.PriorityClass;

/**
 * Expected delays at this engine, from its own recent times and from all work known here.
 *
 * <p>The engine's load reports lag and are not used. Prefill is counted in units: the missing
 * blocks of a prompt and one for its trailing part.
 *
 * <p>Not thread-safe: used on the decision thread.
 */
final class ServiceEstimator {
  private static final int BYTES_PER_TOKEN = 4;
  private static final double WEIGHT_OF_LATEST = 0.1;

  private final SidecarOptions options;
  private final EngineMonitor engine;
  private final AttemptTable table;
  private final PrefixSupply prefixes;
  private double microsPerUnit;
  private double streamMicros;
  private double unitsPerPrompt = 1;

  ServiceEstimator(
      SidecarOptions options, EngineMonitor engine, AttemptTable table, PrefixSupply prefixes) {
    this.options = options;
    this.engine = engine;
    this.table = table;
    this.prefixes = prefixes;
    this.microsPerUnit = options.prefillMicrosPerBlock();
    this.streamMicros = options.streamMicros();
  }

  /** Returns the prefill units of an attempt if it started now. */
  int unitsOf(AdmittedAttempt attempt) {
    return unitsFor(attempt.keys().size(), prefixes.matchedBlocks(attempt.keys()));
  }

  /** Returns the prefill units of a prompt. */
  static int unitsFor(int blocks, int matchedBlocks) {
    return blocks - matchedBlocks + 1;
  }

  /** Returns the expected time of a prefill on an idle engine, in microseconds. */
  long prefillMicros(int units) {
    return (long) (units * microsPerUnit);
  }

  /** Returns the mean time of an answer on the engine, in microseconds. */
  long streamMicros() {
    return (long) streamMicros;
  }

  /** Returns the cost of an attempt for its team, in tokens. */
  double costOf(AdmittedAttempt attempt, int units) {
    int blockTokens = options.blockBytes() / BYTES_PER_TOKEN;
    int outputTokens = attempt.offer().maximumOutputTokens() - attempt.position();
    return (double) units * blockTokens + Math.max(0, outputTokens);
  }

  /** Returns the prefill units that running attempts have still to compute. */
  int unitsInPrefill(PriorityClass priority) {
    int units = 0;
    for (AdmittedAttempt attempt : table.running()) {
      boolean counts = !priority.isAheadOf(attempt.priority());
      units += counts && !attempt.hasTokenOfRun() ? attempt.prefillUnits() : 0;
    }
    return units;
  }

  /** Returns the number of running attempts of a class, or ahead of it, without a token yet. */
  int prefills(PriorityClass priority) {
    int prefills = 0;
    for (AdmittedAttempt attempt : table.running()) {
      boolean counts = !priority.isAheadOf(attempt.priority());
      prefills += counts && !attempt.hasTokenOfRun() ? 1 : 0;
    }
    return prefills;
  }

  /** Returns the expected time that a run still keeps the engine reading, in microseconds. */
  long remainingPrefillMicros(AdmittedAttempt attempt, long nowMicros) {
    long own = prefillMicros(attempt.prefillUnits());
    long ahead = prefillMicros(attempt.prefillUnitsAhead());
    return Math.min(own, attempt.runStartedMicros() + own + ahead - nowMicros);
  }

  /** Returns the expected time until new work of a team would start, in microseconds. */
  long queueDelayMicros(String team, PriorityClass priority) {
    int ahead = aheadOf(team, priority);
    int free = engine.maximumRunning() - slotsNotFor(priority);
    double units = unitsInPrefill(priority) + ahead * unitsPerPrompt;
    return (long) Math.max(slotDelayMicros(ahead, free), units * microsPerUnit);
  }

  /** Learns from the first token of a run. */
  void onFirstToken(AdmittedAttempt attempt, long nowMicros) {
    double units = attempt.prefillUnits() + attempt.prefillUnitsAhead();
    microsPerUnit = learn(microsPerUnit, (nowMicros - attempt.runStartedMicros()) / units);
    unitsPerPrompt = learn(unitsPerPrompt, attempt.prefillUnits());
  }

  /** Learns from the end of a complete answer. */
  void onEnded(AdmittedAttempt attempt, long nowMicros) {
    if (attempt.runs() == 1) {
      streamMicros = learn(streamMicros, (double) (nowMicros - attempt.runStartedMicros()));
    }
  }

  private double slotDelayMicros(int ahead, int free) {
    double delay = 0;
    if (ahead >= free) {
      delay = (ahead - free + 1) * streamMicros / Math.max(1, engine.maximumRunning());
    }
    return isHeldBySuspect() ? Math.max(delay, streamMicros) : delay;
  }

  private boolean isHeldBySuspect() {
    return table.running().stream().anyMatch(AdmittedAttempt::isSuspect);
  }

  private int aheadOf(String team, PriorityClass priority) {
    int ahead = table.queue(priority).aheadOf(team) + table.reservedOf(priority);
    for (PriorityClass other : PriorityClass.values()) {
      ahead += other.isAheadOf(priority) ? table.waitingOf(other) : 0;
    }
    return ahead;
  }

  private int slotsNotFor(PriorityClass priority) {
    int slots = table.running().size();
    if (priority == PriorityClass.PRIORITY) {
      int floor = SlotPolicy.ordinaryFloor(options, engine.maximumRunning());
      slots -= Math.max(0, table.runningOf(PriorityClass.ORDINARY) - floor);
    }
    return slots;
  }

  private static double learn(double mean, double latest) {
    return mean + WEIGHT_OF_LATEST * (latest - mean);
  }
}
