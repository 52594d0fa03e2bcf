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

  /** Returns the strikes of a fault while every queue is full of ordinary work. */
  static List<Strike> crowded(Fault fault) {
    return List.of(new Strike(fault, Step.QUEUE, 1));
  }

  /** Returns every pair of different faults at two pairs of steps each. */
  static List<List<Strike>> pairs() {
    List<List<Strike>> pairs = new ArrayList<>();
    addPairs(pairs, 0, 3);
    addPairs(pairs, 6, 2);
    return pairs;
  }

  private static void addPairs(List<List<Strike>> pairs, int firstShift, int secondShift) {
    Step[] steps = Step.values();
    Fault[] faults = Fault.values();
    int next = 0;
    for (int first = 0; first < faults.length; first++) {
      for (int second = first + 1; second < faults.length; second++) {
        Strike one = applicable(faults[first], steps, next + firstShift);
        Strike other = applicable(faults[second], steps, next * 5 + secondShift);
        pairs.add(List.of(one, other));
        next++;
      }
    }
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
