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
 * Brings an engine to the role that the configuration assigns to it.
 *
 * <p>The role that the engine reports is the one that counts, so an order is given again until it
 * is read back, and whenever the engine has another role for any reason: a restart, or a late order
 * of an earlier process.
 *
 * <p>Invariant: orders carry the offset of the configuration that they follow from; none is given
 * before the list of instances is known. Not thread-safe: used on the decision thread.
 */
public final class RoleOrders {
  /** Time given to an order to be read back before it is given again, in microseconds. */
  static final long READ_BACK_MICROS = 1_000_000;

  /** Longest wait before an order that was refused is given again, in microseconds. */
  static final long LONGEST_BACK_OFF_MICROS = 60_000_000;

  private final String self;
  private final int versionsPerEngine;
  private final Consumer<SidecarCommand.OrderRole> orders;
  private final Counters counters;
  private Map<String, String> regions = Map.of();
  private Basis basis = new Basis(-1, Map.of());
  private EngineRole wanted = EngineRole.MIXED;
  private Optional<Target> target = Optional.empty();
  private long nextOrderMicros;
  private long backOffMicros = READ_BACK_MICROS;

  /** What the assignment was worked out from. */
  private record Basis(long offset, Map<String, String> regions) {}

  /** What the engine is being brought to. */
  private record Target(SidecarCommand.OrderRole order, String incarnation) {}

  /**
   * Creates the orders of one engine.
   *
   * @param self name of this instance
   * @param versionsPerEngine number of versions that an engine is to have at most
   * @param orders takes orders to the engine
   * @param counters counters of orders
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

  /** Takes the list of instances, over whose engines roles are assigned. */
  public void onInstances(InstanceList list) {
    Map<String, String> listed = new HashMap<>();
    list.instances().stream()
        .filter(instance -> instance.role() == InstanceRole.MODEL_ENGINE && !instance.isLeaving())
        .forEach((Instance instance) -> listed.put(instance.name(), instance.region()));
    regions = Map.copyOf(listed);
  }

  /** Takes the engine's answer to an order; answers to earlier ones are ignored. */
  public void onAnswered(
      SidecarCommand.OrderRole order, Optional<Boolean> accepted, long nowMicros) {
    boolean isRefused = accepted.isPresent() && !accepted.get();
    if (!isRefused || target.filter(one -> one.order().equals(order)).isEmpty()) {
      return;
    }
    counters.increment("orders.role-refused");
    nextOrderMicros = nowMicros + backOffMicros;
    backOffMicros = Math.min(LONGEST_BACK_OFF_MICROS, 2 * backOffMicros);
  }

  /**
   * Orders the role that the engine lacks.
   *
   * @param configuration configuration in force; must not be behind what was heard of
   * @param incarnation incarnation of the engine
   * @param reported role that the engine reports; only while it is reachable
   */
  public void onTick(
      ConfigurationState configuration, String incarnation, EngineRole reported, long nowMicros) {
    if (!regions.containsKey(self)) {
      return;
    }
    assign(configuration);
    if (reported == wanted) {
      target = Optional.empty();
      return;
    }
    SidecarCommand.OrderRole order =
        new SidecarCommand.OrderRole(configuration.effectiveOffset(), wanted);
    Optional<Target> next = Optional.of(new Target(order, incarnation));
    if (!next.equals(target)) {
      target = next;
      nextOrderMicros = nowMicros;
      backOffMicros = READ_BACK_MICROS;
    }
    if (nowMicros >= nextOrderMicros) {
      nextOrderMicros = nowMicros + READ_BACK_MICROS;
      counters.increment("orders.roles");
      orders.accept(order);
    }
  }

  private void assign(ConfigurationState configuration) {
    Basis current = new Basis(configuration.effectiveOffset(), regions);
    if (current.equals(basis)) {
      return;
    }
    basis = current;
    Set<String> reserved =
        RoleAssignment.priorityEngines(configuration, regions, versionsPerEngine);
    wanted = reserved.contains(self) ? EngineRole.PRIORITY : EngineRole.MIXED;
  }
}
