package org.shallothook.coordination.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.LongSummaryStatistics;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.shallothook.coordination.message.PeerMessage.SidecarStatus;
import org.shallothook.state.cache.ModelVersion;
import org.shallothook.state.configuration.PriorityClass;
import org.shallothook.state.membership.Instance;
import org.shallothook.state.membership.InstanceList;
import org.shallothook.state.membership.InstanceRole;

/**
 * All upstreams and routers that a router knows, from the instance list and the sidecars' word.
 *
 * <p>Signals add up: an upstream is offered no new work as soon as one of them says that it is
 * leaving, and the list cannot take back what the sidecar said.
 *
 * <p>Invariant: an instance of the list is known under its name until the list has dropped it, its
 * sidecar is not connected and nothing is open at it. Not thread-safe.
 */
public final class UpstreamDirectory {
  private final String region;
  private final long unreachableMicros;
  private final Map<String, Upstream> upstreams = new LinkedHashMap<>();
  private List<Instance> routers = List.of();
  private long listVersion = -1;

  /**
   * Creates an empty directory.
   *
   * @param region region of the router, preferred over others
   * @param unreachableMicros how long an upstream that does not answer is left alone
   */
  public UpstreamDirectory(String region, long unreachableMicros) {
    this.region = region;
    this.unreachableMicros = unreachableMicros;
  }

  /** Returns the version of the list last read, or -1. */
  public long listVersion() {
    return listVersion;
  }

  /** Returns every known upstream. */
  public Collection<Upstream> all() {
    return Collections.unmodifiableCollection(upstreams.values());
  }

  /** Returns the routers of the list. */
  public List<Instance> routers() {
    return routers;
  }

  /** Returns the upstream of that name, if it is known. */
  public Optional<Upstream> find(String name) {
    return Optional.ofNullable(upstreams.get(name));
  }

  /**
   * Takes in a reading of the list.
   *
   * @return upstreams that are new
   */
  public List<Upstream> onInstances(InstanceList list) {
    if (list.version() < listVersion) {
      return List.of();
    }
    listVersion = list.version();
    List<Instance> newRouters = new ArrayList<>();
    Map<String, Instance> listed = new LinkedHashMap<>();
    for (Instance instance : list.instances()) {
      if (instance.role() == InstanceRole.ROUTER) {
        newRouters.add(instance);
      } else if (instance.role().isUpstream()) {
        listed.put(instance.name(), instance);
      }
    }
    routers = List.copyOf(newRouters);
    forgetUnlisted(listed);
    return addListed(listed.values());
  }

  /** Takes in that an instance has sent something. */
  public void onMessage(String name, long nowMicros) {
    find(name).ifPresent(upstream -> upstream.onMessage(nowMicros));
  }

  /** Takes in the state of an upstream, sent by its own sidecar. */
  public void onStatus(SidecarStatus status, long senderIncarnation) {
    find(status.upstream()).ifPresent(upstream -> upstream.onStatus(status, senderIncarnation));
  }

  /** Leaves an upstream alone until its sidecar reports again: there is no connection to it. */
  public void onDown(String name) {
    find(name).ifPresent(Upstream::onDown);
  }

  /** Leaves an upstream alone for a while, because it does not answer or has no engine. */
  public void onUnreachable(String name, long nowMicros) {
    find(name).ifPresent(upstream -> upstream.onUnreachable(nowMicros + unreachableMicros));
  }

  /** Leaves an upstream alone for a while, or until it is heard of: it answers no offers. */
  public void onSilent(String name, long nowMicros) {
    find(name).ifPresent(upstream -> upstream.onSilent(nowMicros + unreachableMicros));
  }

  /**
   * Returns the engines that can serve a model version now, those of the own region if any. Slow
   * and silent engines are returned only where there are no others, since being late is no proof of
   * being gone. Their roles are honoured as {@link RoleChoice} says.
   */
  public List<Upstream> candidates(
      ModelVersion modelVersion, PriorityClass priority, long nowMicros) {
    List<Upstream> usable =
        select(upstream -> isEngine(upstream) && upstream.isReady(modelVersion), nowMicros);
    List<Upstream> answering = usable.stream().filter(one -> !one.isSilent(nowMicros)).toList();
    List<Upstream> healthy = answering.stream().filter(one -> !one.isEjected(nowMicros)).toList();
    if (!healthy.isEmpty()) {
      return RoleChoice.among(preferRegion(healthy), priority);
    }
    return RoleChoice.among(preferRegion(answering.isEmpty() ? usable : answering), priority);
  }

  /** Returns the engines that can serve a model version, ejected or not. */
  public List<Upstream> peersOf(ModelVersion modelVersion, long nowMicros) {
    return select(upstream -> isEngine(upstream) && upstream.isReady(modelVersion), nowMicros);
  }

  /** Returns whether any engine can serve a model version now. */
  public boolean hasReady(ModelVersion modelVersion, long nowMicros) {
    return upstreams.values().stream()
        .anyMatch(one -> isEngine(one) && one.isUsable(nowMicros) && one.isReady(modelVersion));
  }

  /**
   * Returns the share of engines that can serve a model version, among those that can serve it or
   * one of some others. Engines whose state is unknown count as those that cannot, unless they are
   * known to be out of reach.
   *
   * @return share from 0 to 1; 0 where there is no such engine
   */
  public double readyShare(ModelVersion modelVersion, List<ModelVersion> others, long nowMicros) {
    int ready = 0;
    int all = 0;
    for (Upstream upstream : upstreams.values()) {
      if (!isEngine(upstream) || !upstream.isUsable(nowMicros)) {
        continue;
      }
      if (upstream.isReady(modelVersion)) {
        ready++;
        all++;
      } else if (!upstream.hasStatus() || others.stream().anyMatch(upstream::isReady)) {
        all++;
      }
    }
    return all == 0 ? 0 : (double) ready / all;
  }

  /**
   * Returns since when engines can serve a model version: the first and the last of them, in
   * microseconds since the epoch.
   */
  public LongSummaryStatistics readySinceMicros(ModelVersion modelVersion, long nowMicros) {
    return upstreams.values().stream()
        .filter(one -> isEngine(one) && one.isUsable(nowMicros))
        .flatMap(one -> one.readySinceMicros(modelVersion).stream())
        .mapToLong(Long::longValue)
        .summaryStatistics();
  }

  /**
   * Returns whether every engine that can serve one of some other model versions can serve this one
   * too. An engine whose state is unknown may serve any of them, also while it is out of reach.
   */
  public boolean isReadyEverywhere(
      ModelVersion modelVersion, List<ModelVersion> others, long nowMicros) {
    return !isAnyEngineUnreported() && readyShare(modelVersion, others, nowMicros) == 1;
  }

  /** Returns whether any engine takes new work, whatever it has loaded. */
  public boolean hasEngine(long nowMicros) {
    return upstreams.values().stream().anyMatch(one -> isEngine(one) && one.isUsable(nowMicros));
  }

  /** Returns the instances of a service that take new calls. */
  public List<Upstream> servers(String service, long nowMicros) {
    return select(
        upstream ->
            upstream.instance().role() == InstanceRole.SERVICE
                && upstream.instance().service().equals(service),
        nowMicros);
  }

  /** Returns whether some engine that is not leaving has not reported its state yet. */
  public boolean awaitsEngineStatus() {
    return listVersion < 0 || isAnyEngineUnreported();
  }

  private boolean isAnyEngineUnreported() {
    return upstreams.values().stream()
        .anyMatch(one -> isEngine(one) && !one.isLeaving() && !one.hasStatus());
  }

  private List<Upstream> select(Predicate<Upstream> predicate, long nowMicros) {
    List<Upstream> selected = new ArrayList<>();
    for (Upstream upstream : upstreams.values()) {
      if (upstream.isUsable(nowMicros) && predicate.test(upstream)) {
        selected.add(upstream);
      }
    }
    return selected;
  }

  private List<Upstream> preferRegion(List<Upstream> candidates) {
    List<Upstream> near =
        candidates.stream().filter(one -> one.instance().region().equals(region)).toList();
    return near.isEmpty() ? candidates : near;
  }

  private static boolean isEngine(Upstream upstream) {
    return upstream.instance().role() == InstanceRole.MODEL_ENGINE;
  }

  private void forgetUnlisted(Map<String, Instance> listed) {
    for (Upstream upstream : upstreams.values()) {
      if (!listed.containsKey(upstream.name())) {
        upstream.onUnlisted();
      }
    }
    upstreams.values().removeIf(one -> one.isGone() && one.outstanding() == 0);
  }

  private List<Upstream> addListed(Collection<Instance> listed) {
    List<Upstream> added = new ArrayList<>();
    for (Instance instance : listed) {
      Upstream known = upstreams.get(instance.name());
      if (known == null) {
        Upstream upstream = new Upstream(instance);
        upstreams.put(instance.name(), upstream);
        added.add(upstream);
      } else {
        known.onListed(instance);
      }
    }
    return added;
  }
}
