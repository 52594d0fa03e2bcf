package org.shallothook.coordination.membership;

import java.util.List;
import org.shallothook.state.configuration.PriorityClass;
import org.shallothook.state.membership.EngineRole;

/**
 * Which engines work is offered to, by their roles.
 *
 * <p>Invariant: where there is any engine, there is one for every class of work. Stateless and
 * thread-safe.
 */
public final class RoleChoice {
  private RoleChoice() {}

  /** Returns the engines whose role takes a class of work; all of them where none does. */
  static List<Upstream> among(List<Upstream> engines, PriorityClass priority) {
    List<Upstream> taking =
        engines.stream().filter(engine -> engine.role().takes(priority)).toList();
    return taking.isEmpty() ? engines : taking;
  }

  /** Returns the engines that are kept for a class of work and have none waiting. */
  public static List<Upstream> reserved(List<Upstream> engines, PriorityClass priority) {
    if (priority != PriorityClass.PRIORITY) {
      return List.of();
    }
    return engines.stream()
        .filter(engine -> engine.role() == EngineRole.PRIORITY && engine.queueDelayMicros() == 0)
        .toList();
  }
}
