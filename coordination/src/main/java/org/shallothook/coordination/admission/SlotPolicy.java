package org.shallothook.coordination.admission;

import java.util.Comparator;
import java.util.Optional;
import org.shallothook.coordination.sidecar.SidecarOptions;
import org.shallothook.state.configuration.PriorityClass;

/**
 * Which class gets a free slot of the engine, and which stream gives one up.
 *
 * <p>Priority work goes ahead, but while ordinary work waits or runs it keeps a small share of the
 * slots, so that it always progresses.
 *
 * <p>Stateless and thread-safe.
 */
final class SlotPolicy {
  private static final Comparator<AdmittedAttempt> YOUNGER =
      Comparator.comparing(AdmittedAttempt::hasTokenOfRun)
          .thenComparingLong(ticket -> ticket.record().offeredMicros());

  private SlotPolicy() {}

  /** Returns the slots that priority work leaves to ordinary work. */
  static int ordinaryFloor(SidecarOptions options, int maximumRunning) {
    if (maximumRunning < 2) {
      return 0;
    }
    return (int) Math.ceil(options.ordinarySlotShare() * maximumRunning);
  }

  /** Returns the class to serve first from a free slot. */
  static PriorityClass firstClass(AttemptTable table, SidecarOptions options, int maximumRunning) {
    int floor = ordinaryFloor(options, maximumRunning);
    boolean isOrdinaryDue =
        table.queue(PriorityClass.ORDINARY).size() > 0
            && table.runningOf(PriorityClass.ORDINARY) < floor
            && table.runningOf(PriorityClass.PRIORITY) >= maximumRunning - floor;
    return isOrdinaryDue ? PriorityClass.ORDINARY : PriorityClass.PRIORITY;
  }

  /**
   * Returns the ordinary stream that gives way to priority work, if one may.
   *
   * <p>It is the youngest that has begun to generate, or else the youngest.
   */
  static Optional<AdmittedAttempt> victim(
      AttemptTable table, SidecarOptions options, int maximumRunning) {
    int floor = ordinaryFloor(options, maximumRunning);
    if (table.runningOf(PriorityClass.ORDINARY) <= floor) {
      return Optional.empty();
    }
    return table.running().stream()
        .filter(ticket -> ticket.priority() == PriorityClass.ORDINARY)
        .filter(ticket -> ticket.preemptions() < options.maximumPreemptions())
        .reduce((first, second) -> YOUNGER.compare(first, second) > 0 ? first : second);
  }
}
