package org.shallothook.benchmarks.matrix;

import java.util.List;
import java.util.Set;

/**
 * Result of one scenario.
 *
 * <p>Immutable and thread-safe.
 *
 * @param violations descriptions of the violated guarantees
 * @param pending injections that were not made because their step did not occur often enough
 */
record ScenarioResult(List<String> violations, Set<FaultInjection> pending) {
  ScenarioResult {
    violations = List.copyOf(violations);
    pending = Set.copyOf(pending);
  }

  /** Returns whether no guarantee was violated and every planned fault was injected. */
  boolean isHeld() {
    return violations.isEmpty() && pending.isEmpty();
  }
}
