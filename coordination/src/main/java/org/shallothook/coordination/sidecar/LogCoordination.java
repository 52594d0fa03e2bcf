package org.shallothook.coordination.sidecar;

import java.util.HashSet;
import java.util.Set;
import org.shallothook.coordination.booking.AtMostOnceCalls;
import org.shallothook.coordination.configuration.ConfigurationOptions;
import org.shallothook.coordination.configuration.ConfigurationReplica;
import org.shallothook.coordination.engine.EngineMonitor;
import org.shallothook.coordination.lease.LoadSlots;
import org.shallothook.coordination.message.Envelope;
import org.shallothook.coordination.order.EngineOrders;
import org.shallothook.coordination.order.RoleOrders;
import org.shallothook.coordination.port.Counters;
import org.shallothook.state.membership.Instance;
import org.shallothook.state.membership.InstanceList;
import org.shallothook.state.membership.InstanceRole;

/**
 * The components of a sidecar that coordinate with other processes through the log: configuration,
 * claims, and orders to the engine.
 *
 * <p>Invariant: the engine gets no orders while the local configuration is older than the latest
 * offset announced by a peer. Not thread-safe: used on the decision thread.
 */
final class LogCoordination {
  private final SidecarOptions options;
  private final ConfigurationReplica configuration;
  private final AtMostOnceCalls calls;
  private final LoadSlots slots;
  private final EngineOrders orders;
  private final RoleOrders roles;

  LogCoordination(
      SidecarOptions options,
      LogCoordinationOptions coordination,
      SidecarOutbox outbox,
      Counters counters) {
    this.options = options;
    configuration =
        new ConfigurationReplica(outbox, ConfigurationOptions.ofSidecar(options.name()));
    outbox.setConfigurationOffset(configuration::offset);
    calls =
        new AtMostOnceCalls(
            options.name(),
            options.incarnation(),
            outbox,
            outbox::command,
            coordination.claims(),
            counters);
    slots = new LoadSlots(options.name(), options.incarnation(), outbox);
    orders =
        new EngineOrders(
            options.name(),
            options.incarnation(),
            coordination.versionsPerEngine(),
            slots,
            outbox::command,
            counters);
    roles =
        new RoleOrders(options.name(), coordination.versionsPerEngine(), outbox::command, counters);
  }

  AtMostOnceCalls atMostOnceCalls() {
    return calls;
  }

  ConfigurationReplica configuration() {
    return configuration;
  }

  void onInstances(InstanceList list) {
    Set<String> names = new HashSet<>();
    list.instances().stream().map(Instance::name).forEach(names::add);
    configuration.retainPeers(names);
    calls.onInstances(list);
    orders.onInstances(list);
    roles.onInstances(list);
  }

  void onEnvelope(Envelope envelope, long nowMicros) {
    configuration.onEnvelope(envelope, nowMicros);
    calls.onEnvelope(envelope, nowMicros);
  }

  void onEvent(SidecarEvent event, long nowMicros) {
    if (event instanceof SidecarEvent.LogRead read) {
      configuration.onLogRead(read.page(), nowMicros);
      calls.onLogRead(read.page(), nowMicros);
      slots.onLogRead(read.page(), nowMicros);
    } else if (event instanceof SidecarEvent.LogReadFailed failed) {
      configuration.onLogReadFailed(failed.stream(), nowMicros);
      calls.onLogReadFailed(failed.stream(), nowMicros);
    } else if (event instanceof SidecarEvent.LogAppended appended) {
      calls.onLogAppended(appended.token(), nowMicros);
    } else if (event instanceof SidecarEvent.LogAppendFailed failed) {
      calls.onLogAppendFailed(failed.token(), failed.mayHaveTakenEffect(), nowMicros);
    } else if (event instanceof SidecarEvent.OrderAnswered answered) {
      orders.onOrderAnswered(answered.accepted(), nowMicros);
    } else if (event instanceof SidecarEvent.RoleOrderAnswered answered) {
      roles.onAnswered(answered.order(), answered.accepted(), nowMicros);
    }
  }

  void onTick(EngineMonitor engine, boolean isLeaving, long nowMicros) {
    configuration.onTick(nowMicros);
    calls.onTick(nowMicros);
    boolean mayOrder =
        options.role() == InstanceRole.MODEL_ENGINE
            && engine.isReachable()
            && !isLeaving
            && !configuration.isBehind();
    if (mayOrder) {
      orders.onTick(configuration.state(), engine.ready(), nowMicros);
      roles.onTick(
          configuration.state(), engine.incarnation().orElse(""), engine.role(), nowMicros);
    }
  }
}
