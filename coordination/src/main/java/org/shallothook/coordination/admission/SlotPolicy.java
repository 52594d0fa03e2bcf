package org.shallothook.coordination.admission;

import java.util.Comparator;
import java.util.Optional;
import org.shallothook.coordination.sidecar.SidecarOptions;
import org.shallothook.state.configuration.PriorityClass;

/**
 * Decides which priority class gets a free slot of the engine, and which run is preempted.
 *
 * <p>Priority work goes first, but ordinary work keeps a small share of the slots while it waits or
 * runs, so that it always progresses.
 *
 * <p>Stateless and thread-safe.
 */
final class SlotPolicy {
  private static final Comparator<AdmittedAttempt> PREEMPTION_ORDER =
      Comparator.comparing(AdmittedAttempt::hasTokenOfRun)
          .thenComparingLong(attempt -> attempt.record().offeredMicros());

  private SlotPolicy() {}

  /** Returns the number of slots reserved for ordinary work. */
  static int minimumOrdinarySlots(SidecarOptions options, int maximumRunning) {
    if (maximumRunning < 2) {
      return 0;
    }
    return (int) Math.ceil(options.ordinarySlotShare() * maximumRunning);
  }

  /** Returns the priority class that a free slot is offered to first. */
  static PriorityClass preferredClass(
      AttemptTable table, SidecarOptions options, int maximumRunning) {
    int minimumOrdinary = minimumOrdinarySlots(options, maximumRunning);
    boolean isOrdinaryDue =
        table.queue(PriorityClass.ORDINARY).size() > 0
            && table.runningOf(PriorityClass.ORDINARY) < minimumOrdinary
            && table.runningOf(PriorityClass.PRIORITY) >= maximumRunning - minimumOrdinary;
    return isOrdinaryDue ? PriorityClass.ORDINARY : PriorityClass.PRIORITY;
  }

  /**
   * Returns the ordinary attempt to preempt for priority work, if there is one that may be
   * preempted.
   *
   * <p>It is the one offered last among those that have begun to generate, or else among all.
   */
  static Optional<AdmittedAttempt> victim(
      AttemptTable table, SidecarOptions options, int maximumRunning) {
    int minimumOrdinary = minimumOrdinarySlots(options, maximumRunning);
    if (table.runningOf(PriorityClass.ORDINARY) <= minimumOrdinary) {
      return Optional.empty();
    }
    return table.running().stream()
        .filter(attempt -> attempt.priority() == PriorityClass.ORDINARY)
        .filter(attempt -> attempt.preemptions() < options.maximumPreemptions())
        .reduce((first, second) -> PREEMPTION_ORDER.compare(first, second) > 0 ? first : second);
  }
}
