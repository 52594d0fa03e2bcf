package org.shallothook.benchmarks.slopes;

import java.util.ArrayList;
import java.util.List;
import org.shallothook.coordination.message.Envelope;
import org.shallothook.coordination.message.PeerMessage;
import org.shallothook.coordination.router.RouterCore;
import org.shallothook.coordination.router.RouterEvent;
import org.shallothook.coordination.router.RouterOptions;
import org.shallothook.coordination.sidecar.SidecarCore;
import org.shallothook.coordination.sidecar.SidecarEvent;
import org.shallothook.coordination.sidecar.SidecarOptions;
import org.shallothook.state.cache.ModelVersion;
import org.shallothook.state.membership.Instance;
import org.shallothook.state.membership.InstanceList;
import org.shallothook.state.membership.InstanceRole;

/**
 * Cores that know a fleet of some size and have heard of each of its processes once.
 *
 * <p>Immutable and thread-safe.
 *
 * @param routers routers of the fleet
 * @param servers engines of the fleet
 */
record FleetState(int routers, int servers) {
  private static final long NOW_MICROS = 1_000_000_000_000L;
  private static final List<String> DOMAINS = List.of("a", "b", "c", "d", "e", "f");
  private static final ModelVersion VERSION = ModelVersion.of("linen-8b", "2026-11");

  /** Returns a router that has every engine's state. */
  RouterCore router() {
    RouterCore core =
        new RouterCore(RouterOptions.builder().name("router-0").region("north").build(), one -> {});
    core.handle(new RouterEvent.InstancesRead(new InstanceList(1, instances())), NOW_MICROS);
    for (int server = 0; server < servers; server++) {
      String name = "engine-" + server;
      PeerMessage status =
          new PeerMessage.SidecarStatus(name, name + "-1", List.of(VERSION), false, 0);
      core.handle(
          new RouterEvent.PeerMessageReceived(new Envelope(name, 1, 0, status)), NOW_MICROS);
    }
    return core;
  }

  /** Returns a sidecar that every router has greeted. */
  SidecarCore sidecar() {
    SidecarCore core = new SidecarCore(SidecarOptions.builder("engine-0", 1).build(), one -> {});
    core.handle(new SidecarEvent.InstancesRead(new InstanceList(1, instances())), NOW_MICROS);
    for (int router = 0; router < routers; router++) {
      PeerMessage hello = new PeerMessage.Hello(InstanceRole.ROUTER, domainOf(router));
      core.handle(
          new SidecarEvent.PeerMessageReceived(new Envelope("router-" + router, 1, 0, hello)),
          NOW_MICROS);
    }
    return core;
  }

  private List<Instance> instances() {
    List<Instance> all = new ArrayList<>();
    for (int router = 0; router < routers; router++) {
      all.add(instance("router-" + router, InstanceRole.ROUTER, router));
    }
    for (int server = 0; server < servers; server++) {
      all.add(instance("engine-" + server, InstanceRole.MODEL_ENGINE, server));
    }
    return all;
  }

  private static Instance instance(String name, InstanceRole role, int number) {
    String address = "10.0." + number / 250 + "." + number % 250 + ":7000";
    return new Instance(name, role, address, domainOf(number), "north", "", false);
  }

  private static String domainOf(int number) {
    return DOMAINS.get(number % DOMAINS.size());
  }
}
