package org.shallothook.benchmarks.matrix;

import java.util.ArrayList;
import java.util.List;

/**
 * All cells of the fault matrix: every fault at every step once, twice, and in pairs.
 *
 * <p>Stateless and thread-safe.
 */
final class FaultMatrix {
  /** Seed of every scene. */
  static final long SEED = 20_261_204L;

  private FaultMatrix() {}

  /** Returns the cells of single faults that can occur. */
  static List<Strike> singles() {
    List<Strike> cells = new ArrayList<>();
    for (Fault fault : Fault.values()) {
      for (Step step : Step.values()) {
        if (fault.notApplicable(step).isEmpty()) {
          cells.add(new Strike(fault, step, 1));
        }
      }
    }
    return cells;
  }

  /** Returns the strikes of a fault that comes twice: at a step and at its next occurrence. */
  static List<Strike> repeated(Strike single) {
    return isOnce(single.step())
        ? List.of(single)
        : List.of(single, new Strike(single.fault(), single.step(), 2));
  }

  /** Returns every pair of different faults, each at a step of its own. */
  static List<List<Strike>> pairs() {
    List<List<Strike>> pairs = new ArrayList<>();
    Step[] steps = Step.values();
    Fault[] faults = Fault.values();
    int next = 0;
    for (int first = 0; first < faults.length; first++) {
      for (int second = first + 1; second < faults.length; second++) {
        Strike one = applicable(faults[first], steps, next);
        Strike other = applicable(faults[second], steps, next * 5 + 3);
        pairs.add(List.of(one, other));
        next++;
      }
    }
    return pairs;
  }

  /** Returns whether a step occurs only once in a scene. */
  private static boolean isOnce(Step step) {
    return step == Step.PUBLISH || step == Step.DRAIN;
  }

  private static Strike applicable(Fault fault, Step[] steps, int from) {
    int index = from % steps.length;
    while (fault.notApplicable(steps[index]).isPresent()) {
      index = (index + 1) % steps.length;
    }
    return new Strike(fault, steps[index], 1);
  }
}
