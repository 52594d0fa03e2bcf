package org.shallothook.coordination.registry;

import java.util.Optional;

/**
 * Notices when the process did not run for a while, because its instance was frozen or overloaded.
 *
 * <p>What arrived during an interruption is handled after it, so its age is not known from the time
 * at which it is handled.
 *
 * <p>Invariant: the earliest arrival of an input is never later than the time at which it is
 * handled. Not thread-safe.
 */
final class Interruptions {
  /** Time between two calls from which on the process counts as interrupted, in microseconds. */
  private static final long MINIMUM_MICROS = 500_000;

  /** Time within which input that arrived during an interruption is handled, in microseconds. */
  private static final long BACKLOG_MICROS = 500_000;

  /** Time that a process needs before it handles its first event, in microseconds. */
  private static final long STARTUP_MICROS = 1_000_000;

  private Optional<Long> latestRunMicros = Optional.empty();
  private long startedMicros;
  private long endedMicros = Long.MIN_VALUE / 2;

  /**
   * Records that the process runs now; must be called several times per {@link #MINIMUM_MICROS}.
   *
   * @return duration of the interruption that has just ended, in microseconds, if one has
   */
  Optional<Long> onRunning(long nowMicros) {
    Optional<Long> pauseMicros =
        latestRunMicros
            .map(latest -> nowMicros - latest)
            .filter(micros -> micros >= MINIMUM_MICROS);
    if (latestRunMicros.isEmpty()) {
      startedMicros = nowMicros;
      endedMicros = nowMicros - STARTUP_MICROS;
    } else if (pauseMicros.isPresent()) {
      // What arrived during the interruption before may still wait to be handled.
      startedMicros = earliestArrivalMicros(latestRunMicros.get());
      endedMicros = nowMicros;
    }
    latestRunMicros = Optional.of(nowMicros);
    return pauseMicros;
  }

  /** Returns when the process has started, or when the latest interruption ended. */
  long endedMicros() {
    return endedMicros;
  }

  /** Returns the earliest time at which input that is handled now may have arrived. */
  long earliestArrivalMicros(long nowMicros) {
    return nowMicros - endedMicros < BACKLOG_MICROS ? startedMicros : nowMicros;
  }
}
