package org.shallothook.benchmarks.matrix;

import java.util.List;
import java.util.Set;

/**
 * Result of one scene.
 *
 * <p>Immutable and thread-safe.
 *
 * @param violations broken promises, in words
 * @param pending strikes whose step did not occur often enough
 */
record SceneResult(List<String> violations, Set<Strike> pending) {
  SceneResult {
    violations = List.copyOf(violations);
    pending = Set.copyOf(pending);
  }

  /** Returns whether every promise was kept and every fault struck. */
  boolean isHeld() {
    return violations.isEmpty() && pending.isEmpty();
  }
}
