package org.shallothook.benchmarks.virtual;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.shallothook.coordination.configuration.ChangeRequest;
import org.shallothook.coordination.configuration.PublicationResult;
import org.shallothook.coordination.router.RouterEvent;
import org.shallothook.coordination.sidecar.SidecarCommand;
import org.shallothook.coordination.sidecar.SidecarEvent;
import org.shallothook.standins.engine.EngineModel;
import org.shallothook.standins.instances.InstanceListModel;
import org.shallothook.standins.service.ServiceModel;
import org.shallothook.standins.store.CacheStoreModel;
import org.shallothook.state.cache.BlockKey;
import org.shallothook.state.cache.CacheIdentity;
import org.shallothook.state.configuration.ConfigurationRecord;
import org.shallothook.state.configuration.ConfigurationRecordText;

/**
 * Routers, sidecars, upstreams, platform and callers in virtual time.
 *
 * <pre>{@code
 * VirtualFleet fleet = VirtualFleet.builder().seed(7).team(team).build();
 * fleet.runFor(2_000_000);
 * ChatRecord chat = fleet.chat(ChatCall.of(team.key(), "m", Optional.empty(), messages));
 * fleet.crashEngine("engine-1");
 * fleet.runFor(5_000_000);
 * assertThat(FleetInvariants.violations(fleet, Set.of())).isEmpty();
 * }</pre>
 *
 * <p>Faults of models are set on the models themselves ({@link #engine}, {@link #service}, {@link
 * #platform}); faults of processes and of the network by the methods here. To place a fault at a
 * step, set a {@link FleetObserver}.
 *
 * <p>Invariant: the same seed and the same calls give the same run. Not thread-safe.
 */
public final class VirtualFleet {
  /** Time at which every fleet starts, in microseconds since the epoch. */
  public static final long START_MICROS = 1_700_000_000_000_000L;

  private static final long LIST_LAG_MICROS = 1_000_000;

  private final EventQueue queue = new EventQueue(START_MICROS);
  private final VirtualNetwork network;
  private final VirtualPlatform platform;
  private final CallerDesk callers;
  private final UpstreamLedger ledger;
  private final CacheStoreModel store;
  private final Map<String, VirtualRouter> routers = new LinkedHashMap<>();
  private final Map<String, VirtualSidecar> sidecars = new LinkedHashMap<>();
  private final Map<String, EngineModel> engines = new LinkedHashMap<>();
  private final Map<String, ServiceModel> services = new LinkedHashMap<>();
  private final Map<String, TeamSpec> teams = new LinkedHashMap<>();
  private FleetObserver observer = new FleetObserver() {};
  private long changes;
  private int nextRouter;

  VirtualFleet(FleetBuilder builder) {
    SplittableRandom random = new SplittableRandom(builder.seed());
    network = new VirtualNetwork(queue, builder.latencies(), random.split());
    platform =
        new VirtualPlatform(
            network,
            new InstanceListModel(LIST_LAG_MICROS, builder.instances()),
            builder.logSettings());
    callers = new CallerDesk(queue, builder.latencies().toCaller());
    ledger = new UpstreamLedger(this::matchedElsewhere);
    store = new CacheStoreModel("store-1", builder.storeBlocks(), LIST_LAG_MICROS);
    builder.addProcesses(this);
    builder.teams().forEach(this::publish);
    sidecars.values().forEach(VirtualProcess::start);
    routers.values().forEach(VirtualProcess::start);
  }

  /** Returns a builder with the defaults of a small fleet. */
  public static FleetBuilder builder() {
    return new FleetBuilder();
  }

  void add(VirtualRouter router) {
    routers.put(router.name(), router);
    network.add(router);
  }

  void add(VirtualSidecar sidecar) {
    sidecars.put(sidecar.name(), sidecar);
    network.add(sidecar);
  }

  void add(String name, EngineModel engine) {
    engines.put(name, engine);
  }

  void add(String name, ServiceModel service) {
    services.put(name, service);
  }

  EventQueue queue() {
    return queue;
  }

  VirtualNetwork network() {
    return network;
  }

  Latencies latencies() {
    return network.latencies();
  }

  FleetObserver observer() {
    return observer;
  }

  CacheStoreModel storeModel() {
    return store;
  }

  /** Returns the current time, in microseconds since the epoch. */
  public long nowMicros() {
    return queue.nowMicros();
  }

  /** Moves time on. */
  public void runUntil(long untilMicros) {
    queue.runUntil(untilMicros);
  }

  /** Moves time on by a duration. */
  public void runFor(long microseconds) {
    queue.runUntil(queue.nowMicros() + microseconds);
  }

  /** Moves time on until no request is open, at most until a time, and returns whether none is. */
  public boolean runUntilIdle(long limitMicros) {
    while (callers.openRequests() > 0 && queue.nowMicros() < limitMicros) {
      queue.step();
    }
    return callers.openRequests() == 0;
  }

  /** Schedules an action, such as a request or a fault. */
  public void at(long atMicros, Runnable action) {
    queue.at(atMicros, action);
  }

  /** Sets who sees every event and command. */
  public void observe(FleetObserver newObserver) {
    observer = newObserver;
  }

  /** Publishes the template of a team, as an operator would, and returns its offset if taken. */
  public Optional<Long> publish(TeamSpec team) {
    ConfigurationRecord change =
        new ConfigurationRecord.Change(
            "change-" + changes++,
            platform.log().endOffsets().getOrDefault("configuration", 0L),
            team.name(),
            Optional.of(team.template()));
    var answer =
        platform
            .log()
            .append("configuration", ConfigurationRecordText.write(change), queue.nowMicros());
    teams.put(team.name(), team);
    return answer.offset().isPresent()
        ? Optional.of(answer.offset().getAsLong())
        : Optional.empty();
  }

  /**
   * Publishes a change through a router, as its command line does. A router that is down does not.
   */
  public void publish(
      VirtualRouter router, ChangeRequest change, Consumer<PublicationResult> onEnd) {
    router.after(0, () -> router.core().publish(change, onEnd, queue.nowMicros()));
  }

  /** Returns the teams by name. */
  public Map<String, TeamSpec> teams() {
    return Collections.unmodifiableMap(teams);
  }

  /** Sends a chat through the balancer: routers in turn, those that are up and not draining. */
  public ChatRecord chat(ChatCall call) {
    return callers.chat(balance(), call);
  }

  /** Sends a service call through the balancer. */
  public ServiceRecord call(ServiceCall call) {
    return callers.call(balance(), call);
  }

  private VirtualRouter balance() {
    List<VirtualRouter> all = new ArrayList<>(routers.values());
    for (int tried = 0; tried < all.size(); tried++) {
      VirtualRouter router = all.get(nextRouter++ % all.size());
      if (router.isUp() && !router.core().status().isDraining()) {
        return router;
      }
    }
    return all.get(nextRouter++ % all.size());
  }

  /** Returns the callers. */
  public CallerDesk callers() {
    return callers;
  }

  /** Returns what upstreams executed. */
  public UpstreamLedger ledger() {
    return ledger;
  }

  /** Returns the platform. */
  public VirtualPlatform platform() {
    return platform;
  }

  /** Returns the KV-cache store. */
  public CacheStoreModel store() {
    return store;
  }

  /** Returns the routers. */
  public Collection<VirtualRouter> routers() {
    return Collections.unmodifiableCollection(routers.values());
  }

  /** Returns the sidecars. */
  public Collection<VirtualSidecar> sidecars() {
    return Collections.unmodifiableCollection(sidecars.values());
  }

  /** Returns a router by its name. */
  public VirtualRouter router(String name) {
    return routers.get(name);
  }

  /** Returns a sidecar by its name, which is that of its upstream. */
  public VirtualSidecar sidecar(String name) {
    return sidecars.get(name);
  }

  /** Returns the engine of that name. */
  public EngineModel engine(String name) {
    return engines.get(name);
  }

  /** Returns the engines by name. */
  public Map<String, EngineModel> engines() {
    return Collections.unmodifiableMap(engines);
  }

  /** Returns the service instance of that name. */
  public ServiceModel service(String name) {
    return services.get(name);
  }

  /** Crashes an upstream; an engine comes back empty after its restart time. */
  public void crashUpstream(String name) {
    sidecars.get(name).upstream().crash();
  }

  /** Ends a process without warning. */
  public void stop(VirtualProcess process) {
    if (process.isUp()) {
      process.stop();
      network.processStopped(process);
    }
  }

  /** Ends a process without warning and starts it again after a while. */
  public void restart(VirtualProcess process, long downMicros) {
    stop(process);
    queue.after(
        downMicros,
        () -> {
          if (!process.isUp()) {
            process.start();
          }
        });
  }

  /** Hands an event to a router once more, after a while. */
  public void repeat(VirtualRouter router, RouterEvent event, long delayMicros) {
    router.after(delayMicros, () -> router.handle(event));
  }

  /** Hands an event to a sidecar once more, after a while. */
  public void repeat(VirtualSidecar sidecar, SidecarEvent event, long delayMicros) {
    sidecar.after(delayMicros, () -> sidecar.handle(event));
  }

  /** Asks a router to drain. */
  public void drain(VirtualRouter router) {
    router.after(0, () -> router.handle(new RouterEvent.DrainRequested()));
  }

  /** Asks a sidecar to drain. */
  public void drain(VirtualSidecar sidecar) {
    sidecar.after(0, () -> sidecar.handle(new SidecarEvent.DrainRequested()));
  }

  /** Sets whether an upstream itself says that it is leaving. */
  public void setLeaving(String upstream, boolean isLeaving) {
    sidecars.get(upstream).upstream().setLeaving(isLeaving);
  }

  /** Cuts two failure domains off from each other until a time. */
  public void cut(String firstDomain, String secondDomain, long untilMicros) {
    network.cut(firstDomain, secondDomain);
    queue.at(untilMicros, () -> network.heal(firstDomain, secondDomain));
  }

  /** Ends every process of a failure domain and takes it off the list of instances. */
  public void loseDomain(String failureDomain) {
    List<VirtualProcess> lost = new ArrayList<>(sidecars.values());
    lost.addAll(routers.values());
    for (VirtualProcess process : lost) {
      if (process.failureDomain().equals(failureDomain)) {
        stop(process);
        platform.instances().remove(process.name(), queue.nowMicros());
      }
    }
  }

  private int matchedElsewhere(String engine, SidecarCommand.StartAnswer start) {
    CacheIdentity identity = start.identity();
    List<BlockKey> keys = start.keys();
    int matched = 0;
    while (matched < keys.size() && store.contains(identity, keys.get(matched))) {
      matched++;
    }
    for (Map.Entry<String, EngineModel> other : engines.entrySet()) {
      if (!other.getKey().equals(engine) && sidecars.get(other.getKey()).isUp()) {
        matched = Math.max(matched, other.getValue().matchedBlocks(identity, keys));
      }
    }
    return matched;
  }
}
