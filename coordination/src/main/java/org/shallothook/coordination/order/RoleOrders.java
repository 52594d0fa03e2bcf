package org.shallothook.coordination.order;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.shallothook.coordination.port.Counters;
import org.shallothook.coordination.sidecar.SidecarCommand;
import org.shallothook.state.configuration.ConfigurationState;
import org.shallothook.state.membership.EngineRole;
import org.shallothook.state.membership.Instance;
import org.shallothook.state.membership.InstanceList;
import org.shallothook.state.membership.InstanceRole;

/**
 * Orders an engine to take the role that the configuration assigns to it.
 *
 * <p>Only the role that the engine reports is authoritative. An order is repeated until the engine
 * reports the ordered role, and whenever it reports another one for any reason, such as a restart
 * or a delayed order of an earlier sidecar process.
 *
 * <p>Invariant: every order carries the offset of the configuration that it was derived from, as
 * its fencing token. No order is sent before the instance list is known. Not thread-safe: used on
 * the decision thread.
 */
public final class RoleOrders {
  /**
   * Time within which an ordered role must be reported before the order is repeated, in
   * microseconds.
   */
  static final long READ_BACK_TIMEOUT_MICROS = 1_000_000;

  /** Maximum back-off before a refused order is repeated, in microseconds. */
  static final long MAXIMUM_BACK_OFF_MICROS = 60_000_000;

  private final String self;
  private final int versionsPerEngine;
  private final Consumer<SidecarCommand.OrderRole> orders;
  private final Counters counters;
  private Map<String, String> regions = Map.of();
  private AssignmentInput assignmentInput = new AssignmentInput(-1, Map.of());
  private EngineRole desired = EngineRole.MIXED;
  private Optional<Target> target = Optional.empty();
  private long nextOrderMicros;
  private long backOffMicros = READ_BACK_TIMEOUT_MICROS;

  /**
   * Inputs of the latest role assignment; the assignment is computed again only when they change.
   */
  private record AssignmentInput(long offset, Map<String, String> regions) {}

  /**
   * Order that the engine is expected to carry out, and the engine incarnation that it applies to.
   */
  private record Target(SidecarCommand.OrderRole order, String incarnation) {}

  /**
   * Creates the order logic for one engine.
   *
   * @param self name of this instance
   * @param versionsPerEngine maximum number of versions assigned to an engine
   * @param orders receives the orders for the engine
   * @param counters counters for orders
   */
  public RoleOrders(
      String self,
      int versionsPerEngine,
      Consumer<SidecarCommand.OrderRole> orders,
      Counters counters) {
    this.self = self;
    this.versionsPerEngine = versionsPerEngine;
    this.orders = orders;
    this.counters = counters;
  }

  /**
   * Updates the engines over which roles are assigned. Engines that are leaving are not counted.
   */
  public void onInstances(InstanceList list) {
    Map<String, String> listed = new HashMap<>();
    list.instances().stream()
        .filter(instance -> instance.role() == InstanceRole.MODEL_ENGINE && !instance.isLeaving())
        .forEach((Instance instance) -> listed.put(instance.name(), instance.region()));
    regions = Map.copyOf(listed);
  }

  /** Handles the engine's response to an order. Responses to superseded orders are ignored. */
  public void onAnswered(
      SidecarCommand.OrderRole order, Optional<Boolean> accepted, long nowMicros) {
    boolean isRefused = accepted.isPresent() && !accepted.get();
    if (!isRefused || target.filter(current -> current.order().equals(order)).isEmpty()) {
      return;
    }
    counters.increment("orders.role-refused");
    nextOrderMicros = nowMicros + backOffMicros;
    backOffMicros = Math.min(MAXIMUM_BACK_OFF_MICROS, 2 * backOffMicros);
  }

  /**
   * Orders the assigned role if the engine reports another one.
   *
   * @param configuration configuration in force; must not be older than the latest offset announced
   *     by a peer
   * @param incarnation incarnation of the engine
   * @param reported role that the engine reports; the engine must be reachable
   */
  public void onTick(
      ConfigurationState configuration, String incarnation, EngineRole reported, long nowMicros) {
    if (!regions.containsKey(self)) {
      return;
    }
    updateDesiredRole(configuration);
    if (reported == desired) {
      target = Optional.empty();
      return;
    }
    SidecarCommand.OrderRole order =
        new SidecarCommand.OrderRole(configuration.effectiveOffset(), desired);
    Optional<Target> next = Optional.of(new Target(order, incarnation));
    if (!next.equals(target)) {
      target = next;
      nextOrderMicros = nowMicros;
      backOffMicros = READ_BACK_TIMEOUT_MICROS;
    }
    if (nowMicros >= nextOrderMicros) {
      nextOrderMicros = nowMicros + READ_BACK_TIMEOUT_MICROS;
      counters.increment("orders.roles");
      orders.accept(order);
    }
  }

  private void updateDesiredRole(ConfigurationState configuration) {
    AssignmentInput current = new AssignmentInput(configuration.effectiveOffset(), regions);
    if (current.equals(assignmentInput)) {
      return;
    }
    assignmentInput = current;
    Set<String> reserved =
        RoleAssignment.priorityEngines(configuration, regions, versionsPerEngine);
    desired = reserved.contains(self) ? EngineRole.PRIORITY : EngineRole.MIXED;
  }
}
