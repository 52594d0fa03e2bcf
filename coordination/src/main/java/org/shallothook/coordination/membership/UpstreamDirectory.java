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
 * The upstreams and routers that a router knows, from the instance list and the statuses of
 * sidecars.
 *
 * <p>An upstream is offered no new work as soon as either source reports that it is leaving; the
 * list cannot withdraw what the sidecar reported.
 *
 * <p>Invariant: an instance is kept until it is absent from the list, its sidecar is not connected
 * and no request is open at it. Not thread-safe.
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
   * @param region region of the router, whose upstreams are preferred
   * @param unreachableMicros how long an upstream that does not respond gets no work, in
   *     microseconds
   */
  public UpstreamDirectory(String region, long unreachableMicros) {
    this.region = region;
    this.unreachableMicros = unreachableMicros;
  }

  /** Returns the version of the latest instance list, or -1 if none was read yet. */
  public long listVersion() {
    return listVersion;
  }

  /** Returns every known upstream. */
  public Collection<Upstream> all() {
    return Collections.unmodifiableCollection(upstreams.values());
  }

  /** Returns the routers in the instance list. */
  public List<Instance> routers() {
    return routers;
  }

  /** Returns the upstream with the given name, if it is known. */
  public Optional<Upstream> find(String name) {
    return Optional.ofNullable(upstreams.get(name));
  }

  /**
   * Applies an instance list. Ignored if it is older than the latest one.
   *
   * @return upstreams that were added
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
    removeUnlisted(listed);
    return addListed(listed.values());
  }

  /** Records that an instance has sent a message. */
  public void onMessage(String name, long nowMicros) {
    find(name).ifPresent(upstream -> upstream.onMessage(nowMicros));
  }

  /** Applies the status of an upstream, sent by its sidecar. */
  public void onStatus(SidecarStatus status, long senderIncarnation) {
    find(status.upstream()).ifPresent(upstream -> upstream.onStatus(status, senderIncarnation));
  }

  /**
   * Records that the connection to an upstream was lost. It gets no new work until its sidecar
   * sends a status.
   */
  public void onDisconnected(String name) {
    find(name).ifPresent(Upstream::onDisconnected);
  }

  /**
   * Records that an upstream does not respond or has no engine. It gets no new work for a while.
   */
  public void onUnreachable(String name, long nowMicros) {
    find(name).ifPresent(upstream -> upstream.onUnreachable(nowMicros + unreachableMicros));
  }

  /**
   * Records that an upstream does not answer offers. It is avoided for a while, or until it sends a
   * message.
   */
  public void onSilent(String name, long nowMicros) {
    find(name).ifPresent(upstream -> upstream.onSilent(nowMicros + unreachableMicros));
  }

  /**
   * Returns the engines that can serve a model version now, restricted to the router's own region
   * if it has any. Ejected and silent engines are returned only if there are no others, because a
   * late response does not prove that an engine is gone. Engines whose role accepts the class of
   * work are preferred; see {@link RoleFilter}.
   */
  public List<Upstream> candidates(
      ModelVersion modelVersion, PriorityClass priority, long nowMicros) {
    List<Upstream> usable =
        select(upstream -> isEngine(upstream) && upstream.isReady(modelVersion), nowMicros);
    List<Upstream> responsive =
        usable.stream().filter(upstream -> !upstream.isSilent(nowMicros)).toList();
    List<Upstream> healthy =
        responsive.stream().filter(upstream -> !upstream.isEjected(nowMicros)).toList();
    if (!healthy.isEmpty()) {
      return RoleFilter.preferRole(preferRegion(healthy), priority);
    }
    return RoleFilter.preferRole(
        preferRegion(responsive.isEmpty() ? usable : responsive), priority);
  }

  /** Returns the engines that can serve a model version, including ejected ones. */
  public List<Upstream> peersOf(ModelVersion modelVersion, long nowMicros) {
    return select(upstream -> isEngine(upstream) && upstream.isReady(modelVersion), nowMicros);
  }

  /** Returns whether any engine can serve a model version now. */
  public boolean hasReady(ModelVersion modelVersion, long nowMicros) {
    return upstreams.values().stream()
        .anyMatch(
            upstream ->
                isEngine(upstream)
                    && upstream.isUsable(nowMicros)
                    && upstream.isReady(modelVersion));
  }

  /**
   * Returns the share of engines that can serve a model version, among those that can serve it or
   * one of the other given versions. Engines that have not reported a status count as unable to
   * serve it, unless they are known to be unreachable.
   *
   * @return share from 0 to 1; 0 if there is no such engine
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
   * Returns statistics of the times since when engines have been able to serve a model version, in
   * microseconds since the epoch.
   */
  public LongSummaryStatistics readySinceMicros(ModelVersion modelVersion, long nowMicros) {
    return upstreams.values().stream()
        .filter(upstream -> isEngine(upstream) && upstream.isUsable(nowMicros))
        .flatMap(upstream -> upstream.readySinceMicros(modelVersion).stream())
        .mapToLong(Long::longValue)
        .summaryStatistics();
  }

  /**
   * Returns whether every engine that can serve one of the other given versions can serve this one
   * too. Returns false while any engine has not reported a status, even if it is unreachable,
   * because it may serve any version.
   */
  public boolean isReadyEverywhere(
      ModelVersion modelVersion, List<ModelVersion> others, long nowMicros) {
    return !isAnyEngineUnreported() && readyShare(modelVersion, others, nowMicros) == 1;
  }

  /** Returns whether any engine accepts new work, regardless of the versions it has loaded. */
  public boolean hasEngine(long nowMicros) {
    return upstreams.values().stream()
        .anyMatch(upstream -> isEngine(upstream) && upstream.isUsable(nowMicros));
  }

  /** Returns the instances of a service that accept new calls. */
  public List<Upstream> servers(String service, long nowMicros) {
    return select(
        upstream ->
            upstream.instance().role() == InstanceRole.SERVICE
                && upstream.instance().service().equals(service),
        nowMicros);
  }

  /**
   * Returns whether no instance list was read yet, or some engine that is not leaving has not
   * reported a status yet.
   */
  public boolean awaitsEngineStatus() {
    return listVersion < 0 || isAnyEngineUnreported();
  }

  private boolean isAnyEngineUnreported() {
    return upstreams.values().stream()
        .anyMatch(upstream -> isEngine(upstream) && !upstream.isLeaving() && !upstream.hasStatus());
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
    List<Upstream> local =
        candidates.stream()
            .filter(upstream -> upstream.instance().region().equals(region))
            .toList();
    return local.isEmpty() ? candidates : local;
  }

  private static boolean isEngine(Upstream upstream) {
    return upstream.instance().role() == InstanceRole.MODEL_ENGINE;
  }

  private void removeUnlisted(Map<String, Instance> listed) {
    for (Upstream upstream : upstreams.values()) {
      if (!listed.containsKey(upstream.name())) {
        upstream.onUnlisted();
      }
    }
    upstreams.values().removeIf(upstream -> upstream.isGone() && upstream.outstanding() == 0);
  }

  private List<Upstream> addListed(Collection<Instance> listed) {
    List<Upstream> added = new ArrayList<>();
    for (Instance instance : listed) {
      Upstream known = upstreams.get(instance.name());
      if (known == null) {
        Upstream created = new Upstream(instance);
        upstreams.put(instance.name(), created);
        added.add(created);
      } else {
        known.onListed(instance);
      }
    }
    return added;
  }
}
