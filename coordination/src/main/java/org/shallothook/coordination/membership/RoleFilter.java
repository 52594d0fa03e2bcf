package org.shallothook.coordination.membership;

import java.util.List;
import org.shallothook.state.configuration.PriorityClass;
import org.shallothook.state.membership.EngineRole;

/**
 * Selects the engines to which work is offered, by engine role.
 *
 * <p>Invariant: if there is any engine, every class of work has at least one. Stateless and
 * thread-safe.
 */
public final class RoleFilter {
  private RoleFilter() {}

  /** Returns the engines whose role accepts a class of work, or all engines if there is none. */
  static List<Upstream> preferRole(List<Upstream> engines, PriorityClass priority) {
    List<Upstream> accepting =
        engines.stream().filter(engine -> engine.role().accepts(priority)).toList();
    return accepting.isEmpty() ? engines : accepting;
  }

  /** Returns the engines that are reserved for a class of work and report no queue delay. */
  public static List<Upstream> reserved(List<Upstream> engines, PriorityClass priority) {
    if (priority != PriorityClass.PRIORITY) {
      return List.of();
    }
    return engines.stream()
        .filter(engine -> engine.role() == EngineRole.PRIORITY && engine.queueDelayMicros() == 0)
        .toList();
  }
}
