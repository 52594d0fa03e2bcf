package org.shallothook.benchmarks.matrix;

import java.util.ArrayList;
import java.util.List;

/**
 * Lists the cells of the fault matrix: every fault at every step once and twice, every fault under
 * full queues, and pairs of faults.
 *
 * <p>Stateless and thread-safe.
 */
final class FaultMatrix {
  /** Random seed of every scenario. */
  static final long SEED = 20_261_204L;

  private FaultMatrix() {}

  /** Returns one injection for each fault and each step that it applies to. */
  static List<FaultInjection> singles() {
    List<FaultInjection> cells = new ArrayList<>();
    for (Fault fault : Fault.values()) {
      for (Step step : Step.values()) {
        if (fault.notApplicable(step).isEmpty()) {
          cells.add(new FaultInjection(fault, step, 1));
        }
      }
    }
    return cells;
  }

  /**
   * Returns the injections of a fault at the first and second occurrence of a step, or the given
   * one alone if the step occurs only once in a scenario.
   */
  static List<FaultInjection> repeated(FaultInjection single) {
    return occursOnce(single.step())
        ? List.of(single)
        : List.of(single, new FaultInjection(single.fault(), single.step(), 2));
  }

  /** Returns the injection of a fault while ordinary chats fill every queue. */
  static List<FaultInjection> underFullQueues(Fault fault) {
    return List.of(new FaultInjection(fault, Step.QUEUE, 1));
  }

  /** Returns every pair of different faults, each at two combinations of steps. */
  static List<List<FaultInjection>> pairs() {
    List<List<FaultInjection>> pairs = new ArrayList<>();
    addPairs(pairs, 0, 3);
    addPairs(pairs, 6, 2);
    return pairs;
  }

  private static void addPairs(List<List<FaultInjection>> pairs, int firstShift, int secondShift) {
    Step[] steps = Step.values();
    Fault[] faults = Fault.values();
    int next = 0;
    for (int first = 0; first < faults.length; first++) {
      for (int second = first + 1; second < faults.length; second++) {
        FaultInjection one = applicable(faults[first], steps, next + firstShift);
        FaultInjection other = applicable(faults[second], steps, next * 5 + secondShift);
        pairs.add(List.of(one, other));
        next++;
      }
    }
  }

  /** Returns whether a step occurs only once in a scenario. */
  private static boolean occursOnce(Step step) {
    return step == Step.PUBLISH || step == Step.DRAIN;
  }

  private static FaultInjection applicable(Fault fault, Step[] steps, int from) {
    int index = from % steps.length;
    while (fault.notApplicable(steps[index]).isPresent()) {
      index = (index + 1) % steps.length;
    }
    return new FaultInjection(fault, steps[index], 1);
  }
}
