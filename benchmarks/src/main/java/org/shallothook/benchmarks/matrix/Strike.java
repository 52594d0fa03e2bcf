package org.shallothook.benchmarks.matrix;

/**
 * A fault planned at an occurrence of a step.
 *
 * <p>Immutable and thread-safe.
 *
 * @param fault fault to inject
 * @param step step to inject it at
 * @param occurrence which occurrence of the step, from 1
 */
record Strike(Fault fault, Step step, int occurrence) {
  @Override
  public String toString() {
    return fault.title() + " at " + step.title() + " #" + occurrence;
  }
}
