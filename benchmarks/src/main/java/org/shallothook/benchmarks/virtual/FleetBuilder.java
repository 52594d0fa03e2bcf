package org.shallothook.benchmarks.virtual;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.shallothook.coordination.placement.PlacementPolicy;
import org.shallothook.coordination.placement.PlacementStrategy;
import org.shallothook.coordination.port.Counters;
import org.shallothook.coordination.router.RouterOptions;
import org.shallothook.coordination.sidecar.LogCoordinationOptions;
import org.shallothook.coordination.sidecar.SidecarOptions;
import org.shallothook.standins.engine.EngineModel;
import org.shallothook.standins.engine.EngineSettings;
import org.shallothook.standins.log.LogSettings;
import org.shallothook.standins.service.ServiceModel;
import org.shallothook.state.cache.ModelVersion;
import org.shallothook.state.membership.Instance;
import org.shallothook.state.membership.InstanceRole;

/**
 * Collects the parts of a {@link VirtualFleet}.
 *
 * <p>Instances are spread over the failure domains in turn. Not thread-safe.
 */
public final class FleetBuilder {
  private static final String REGION = "region-1";
  private static final String SERVICE_ADDRESS = "10.0.0.1:1";

  private long seed = 1;
  private Latencies latencies = Latencies.RO_CENTRAL;
  private List<String> domains = List.of("domain-a", "domain-b", "domain-c");
  private Map<String, String> regions = Map.of();
  private int routers = 3;
  private int engines = 8;
  private int services;
  private String service = "booking";
  private boolean servicesCheckFencing;
  private int storeBlocks = 4_000;
  private LogSettings logSettings = LogSettings.DEFAULT;
  private LogCoordinationOptions coordination = LogCoordinationOptions.DEFAULT;
  private boolean hasStore = true;
  private EngineSettings engineSettings = EngineSettings.DEFAULT;
  private final Set<ModelVersion> loaded = new LinkedHashSet<>();
  private PlacementPolicy placement = PlacementStrategy.PREFIX_AFFINITY;
  private Consumer<RouterOptions.Builder> routerOptions = options -> {};
  private Consumer<SidecarOptions.Builder> sidecarOptions = options -> {};
  private final List<TeamSpec> teams = new ArrayList<>();
  private final Map<String, Long> counts = new TreeMap<>();

  FleetBuilder() {}

  /** Sets the seed of everything that varies. Default: 1. */
  public FleetBuilder seed(long value) {
    seed = value;
    return this;
  }

  /** Sets the latencies. Default: {@link Latencies#RO_CENTRAL}. */
  public FleetBuilder latencies(Latencies value) {
    latencies = value;
    return this;
  }

  /** Sets the failure domains. Default: three. */
  public FleetBuilder domains(List<String> names) {
    domains = List.copyOf(names);
    return this;
  }

  /** Sets the regions of failure domains by their names. Default: all in one region. */
  public FleetBuilder regions(Map<String, String> byDomain) {
    regions = Map.copyOf(byDomain);
    return this;
  }

  /** Sets the number of routers, {@code router-1} and on. Default: 3. */
  public FleetBuilder routers(int count) {
    routers = count;
    return this;
  }

  /** Sets the number of engines, {@code engine-1} and on. Default: 8. */
  public FleetBuilder engines(int count) {
    engines = count;
    return this;
  }

  /** Sets the instances of a service, named after it. Default: none. */
  public FleetBuilder services(String name, int count, boolean checksFencing) {
    service = name;
    services = count;
    servicesCheckFencing = checksFencing;
    return this;
  }

  /** Sets the room of the KV-cache store in blocks. Default: 4,000. */
  public FleetBuilder storeBlocks(int blocks) {
    storeBlocks = blocks;
    return this;
  }

  /** Sets the settings of the platform's log. Default: {@link LogSettings#DEFAULT}. */
  public FleetBuilder logSettings(LogSettings settings) {
    logSettings = settings;
    return this;
  }

  /** Sets what sidecars agree on. Default: {@link LogCoordinationOptions#DEFAULT}. */
  public FleetBuilder agreement(LogCoordinationOptions options) {
    coordination = options;
    return this;
  }

  /** Leaves the KV-cache store out of the list of instances. */
  public FleetBuilder withoutStore() {
    hasStore = false;
    return this;
  }

  /** Sets the settings of every engine. Default: {@link EngineSettings#DEFAULT}. */
  public FleetBuilder engineSettings(EngineSettings settings) {
    engineSettings = settings;
    return this;
  }

  /** Sets the placement policy of every router. Default: prefix affinity. */
  public FleetBuilder placement(PlacementPolicy policy) {
    placement = policy;
    return this;
  }

  /** Changes the options of every router. */
  public FleetBuilder routerOptions(Consumer<RouterOptions.Builder> change) {
    routerOptions = change;
    return this;
  }

  /** Changes the options of every sidecar. */
  public FleetBuilder sidecarOptions(Consumer<SidecarOptions.Builder> change) {
    sidecarOptions = change;
    return this;
  }

  /** Adds a team, whose template is published at the start and whose model is loaded. */
  public FleetBuilder team(TeamSpec team) {
    teams.add(team);
    loaded.add(team.modelVersion());
    return this;
  }

  /** Returns counters of all routers and sidecars, which go on counting while the fleet runs. */
  public Map<String, Long> counts() {
    return counts;
  }

  /** Builds the fleet and starts it. */
  public VirtualFleet build() {
    return new VirtualFleet(this);
  }

  long seed() {
    return seed;
  }

  Latencies latencies() {
    return latencies;
  }

  int storeBlocks() {
    return storeBlocks;
  }

  LogSettings logSettings() {
    return logSettings;
  }

  List<TeamSpec> teams() {
    return teams;
  }

  List<Instance> instances() {
    List<Instance> instances = new ArrayList<>();
    domainsByName("router", routers)
        .forEach((name, domain) -> instances.add(instance(name, InstanceRole.ROUTER, domain, "")));
    domainsByName("engine", engines)
        .forEach(
            (name, domain) -> instances.add(instance(name, InstanceRole.MODEL_ENGINE, domain, "")));
    domainsByName(service, services)
        .forEach(
            (name, domain) -> instances.add(instance(name, InstanceRole.SERVICE, domain, service)));
    if (hasStore) {
      String domain = domains.get(domains.size() - 1);
      instances.add(instance("store-1", InstanceRole.CACHE_STORE, domain, ""));
    }
    return instances;
  }

  private Instance instance(String name, InstanceRole role, String domain, String serviceName) {
    return new Instance(name, role, SERVICE_ADDRESS, domain, regionOf(domain), serviceName, false);
  }

  private String regionOf(String domain) {
    return regions.getOrDefault(domain, REGION);
  }

  private Map<String, String> domainsByName(String prefix, int count) {
    Map<String, String> byName = new LinkedHashMap<>();
    for (int index = 0; index < count; index++) {
      byName.put(prefix + "-" + (index + 1), domains.get(index % domains.size()));
    }
    return byName;
  }

  void addProcesses(VirtualFleet fleet) {
    domainsByName("router", routers)
        .forEach((name, domain) -> fleet.add(router(fleet, name, domain)));
    domainsByName("engine", engines).forEach((name, domain) -> addEngine(fleet, name, domain));
    domainsByName(service, services).forEach((name, domain) -> addService(fleet, name, domain));
  }

  private VirtualRouter router(VirtualFleet fleet, String name, String domain) {
    return new VirtualRouter(
        fleet,
        name,
        domain,
        incarnation -> {
          RouterOptions.Builder options =
              RouterOptions.builder()
                  .name(name)
                  .incarnation(incarnation)
                  .failureDomain(domain)
                  .region(regionOf(domain))
                  .placement(placement)
                  .blockBytes(engineSettings.blockBytes())
                  .seed(seed * 31 + name.hashCode() + incarnation)
                  .counters(counters());
          routerOptions.accept(options);
          return options.build();
        });
  }

  private void addEngine(VirtualFleet fleet, String name, String domain) {
    EngineModel model = new EngineModel(name, engineSettings, List.copyOf(loaded));
    fleet.add(name, model);
    fleet.add(
        new VirtualSidecar(
            fleet,
            name,
            domain,
            incarnation -> sidecarOptions(name, domain, InstanceRole.MODEL_ENGINE, incarnation),
            coordination,
            counters(),
            sidecar -> new EngineLink(fleet, sidecar, model, fleet.storeModel())));
  }

  private void addService(VirtualFleet fleet, String name, String domain) {
    ServiceModel model = new ServiceModel(name, servicesCheckFencing);
    fleet.add(name, model);
    fleet.add(
        new VirtualSidecar(
            fleet,
            name,
            domain,
            incarnation -> sidecarOptions(name, domain, InstanceRole.SERVICE, incarnation),
            coordination,
            counters(),
            sidecar -> new ServiceLink(fleet, sidecar, model)));
  }

  private SidecarOptions sidecarOptions(
      String name, String domain, InstanceRole role, long incarnation) {
    SidecarOptions.Builder options =
        SidecarOptions.builder(name, incarnation)
            .role(role)
            .service(role == InstanceRole.SERVICE ? service : "")
            .failureDomain(domain)
            .blockBytes(engineSettings.blockBytes())
            .region(regionOf(domain));
    sidecarOptions.accept(options);
    return options.build();
  }

  private Counters counters() {
    return name -> counts.merge(name, 1L, Long::sum);
  }
}
