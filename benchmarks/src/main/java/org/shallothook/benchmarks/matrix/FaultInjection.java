package org.shallothook.benchmarks.matrix;

/**
 * Plan to inject a fault at one occurrence of a step.
 *
 * <p>Immutable and thread-safe.
 *
 * @param fault fault to inject
 * @param step step to inject it at
 * @param occurrence number of the occurrence at which to inject it, counted from 1
 */
record FaultInjection(Fault fault, Step step, int occurrence) {
  @Override
  public String toString() {
    return fault.title() + " at " + step.title() + " #" + occurrence;
  }
}
