package org.shallothook.coordination.membership;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.shallothook.coordination.message.PeerMessage.SidecarStatus;
import org.shallothook.coordination.placement.PlacementCandidate;
import org.shallothook.coordination.placement.RendezvousHash;
import org.shallothook.state.cache.ModelVersion;
import org.shallothook.state.membership.EngineRole;
import org.shallothook.state.membership.Instance;

/**
 * A router's view of one upstream.
 *
 * <p>Invariant: the instance list and the sidecar signal leaving independently; each signal can be
 * withdrawn only by its source. Not thread-safe.
 */
public final class Upstream implements PlacementCandidate {
  private final String name;
  private final long hash;
  private Instance instance;
  private boolean isListed = true;
  private boolean hasStatus;
  private boolean isDisconnected;
  private long sidecarIncarnation;
  private String engineIncarnation = "";
  private Map<ModelVersion, Long> readySinceMicros = Map.of();
  private EngineRole role = EngineRole.MIXED;
  private boolean hasSidecarReportedLeaving;
  private long queueDelayMicros;
  private long unreachableUntilMicros;
  private long silentUntilMicros;
  private long ejectedUntilMicros;
  private int outstanding;
  private int unansweredOffers;
  private long lastMessageMicros;

  Upstream(Instance instance) {
    this.name = instance.name();
    this.hash = RendezvousHash.hashOf(name);
    this.instance = instance;
  }

  @Override
  public String name() {
    return name;
  }

  @Override
  public long hash() {
    return hash;
  }

  @Override
  public String failureDomain() {
    return instance.failureDomain();
  }

  @Override
  public int outstanding() {
    return outstanding;
  }

  @Override
  public long queueDelayMicros() {
    return queueDelayMicros;
  }

  /** Returns the entry that the instance list last had for this upstream. */
  public Instance instance() {
    return instance;
  }

  /** Returns whether the sidecar has reported its status over the current connection. */
  public boolean hasStatus() {
    return hasStatus;
  }

  /** Returns the incarnation of the engine or service, or the empty string while it is unknown. */
  public String engineIncarnation() {
    return engineIncarnation;
  }

  /**
   * Returns whether the upstream must get no new work, by any signal: it is gone, or the instance
   * list or its sidecar reports that it is leaving.
   */
  public boolean isLeaving() {
    return isGone() || instance.isLeaving() || hasSidecarReportedLeaving;
  }

  /**
   * Returns whether the upstream is neither in the instance list nor reported by a connected
   * sidecar. Being absent from the list alone is not enough, because the list can be wrong while
   * the sidecar's connection proves that the upstream exists.
   */
  public boolean isGone() {
    return !isListed && !hasStatus;
  }

  /**
   * Returns when the latest ejection ends, in microseconds since the epoch, or 0 if there was none.
   */
  public long ejectedUntilMicros() {
    return ejectedUntilMicros;
  }

  /** Returns whether the upstream is ejected for slowness. */
  public boolean isEjected(long nowMicros) {
    return nowMicros < ejectedUntilMicros;
  }

  /**
   * Returns whether the upstream gets no new work because it cannot be reached or does not respond.
   */
  public boolean isUnreachable(long nowMicros) {
    return isDisconnected || nowMicros < unreachableUntilMicros;
  }

  /**
   * Returns whether the upstream left offers unanswered and has sent no message since. Ends by
   * itself after a time.
   */
  public boolean isSilent(long nowMicros) {
    return nowMicros < silentUntilMicros;
  }

  /** Returns whether new work may be sent: the upstream is reachable and not leaving. */
  public boolean isUsable(long nowMicros) {
    return !isLeaving() && !isUnreachable(nowMicros);
  }

  /** Returns whether the sidecar reports the model version as ready. */
  public boolean isReady(ModelVersion modelVersion) {
    return readySinceMicros.containsKey(modelVersion);
  }

  /**
   * Returns since when the model version has been ready here, in microseconds since the epoch, if
   * it is ready.
   */
  public Optional<Long> readySinceMicros(ModelVersion modelVersion) {
    return Optional.ofNullable(readySinceMicros.get(modelVersion));
  }

  /**
   * Returns whether the sidecar reports any version of the model with the same adapter as ready.
   */
  public boolean hasModel(ModelVersion modelVersion) {
    return readySinceMicros.keySet().stream()
        .anyMatch(
            version ->
                version.model().equals(modelVersion.model())
                    && version.adapter().equals(modelVersion.adapter()));
  }

  /** Returns the engine's role as its sidecar last reported it. */
  public EngineRole role() {
    return role;
  }

  /** Counts a request opened at the upstream. */
  public void onOpened() {
    outstanding++;
  }

  /** Counts a request that is no longer open at the upstream. */
  public void onClosed() {
    outstanding--;
  }

  /** Returns when the sidecar last sent a message, in microseconds since the epoch. */
  public long lastMessageMicros() {
    return lastMessageMicros;
  }

  /** Records that an offer was answered. */
  public void onAnswered() {
    unansweredOffers = 0;
  }

  /**
   * Records that an offer was not answered in time. Returns the number of consecutive unanswered
   * offers.
   */
  public int onUnanswered() {
    return ++unansweredOffers;
  }

  /** Records the queue delay that the sidecar reported, in microseconds. */
  public void onQueueDelay(long delayMicros) {
    queueDelayMicros = delayMicros;
  }

  /** Records that the sidecar reported the upstream as leaving. */
  public void onLeaving() {
    hasSidecarReportedLeaving = true;
  }

  /** Records that the sidecar reported a model version as not ready. */
  public void onNotReady(ModelVersion modelVersion) {
    if (readySinceMicros.containsKey(modelVersion)) {
      Map<ModelVersion, Long> others = new HashMap<>(readySinceMicros);
      others.remove(modelVersion);
      readySinceMicros = Map.copyOf(others);
    }
  }

  void onMessage(long nowMicros) {
    lastMessageMicros = nowMicros;
    silentUntilMicros = 0;
    unansweredOffers = 0;
  }

  void onSilent(long untilMicros) {
    silentUntilMicros = untilMicros;
  }

  void onListed(Instance newInstance) {
    instance = newInstance;
    isListed = true;
  }

  void onUnlisted() {
    isListed = false;
  }

  /** Applies a status unless it was sent by an earlier incarnation of the sidecar. */
  void onStatus(SidecarStatus status, long incarnation) {
    if (incarnation < sidecarIncarnation) {
      return;
    }
    sidecarIncarnation = incarnation;
    hasStatus = true;
    engineIncarnation = status.engineIncarnation();
    readySinceMicros = readySinceOf(status);
    hasSidecarReportedLeaving = status.isLeaving();
    queueDelayMicros = status.queueDelayMicros();
    role = status.role();
    unreachableUntilMicros = 0;
    isDisconnected = false;
  }

  /**
   * Records that the connection was lost. The upstream stays unreachable until its sidecar sends a
   * status.
   */
  void onDisconnected() {
    isDisconnected = true;
    hasStatus = false;
  }

  void onUnreachable(long untilMicros) {
    unreachableUntilMicros = untilMicros;
  }

  void eject(long untilMicros) {
    ejectedUntilMicros = untilMicros;
  }

  /**
   * Returns since when each version has been ready. Sidecars of earlier builds do not report these
   * times; then the time at which the version was first reported is used.
   */
  private Map<ModelVersion, Long> readySinceOf(SidecarStatus status) {
    boolean hasTimes = status.readySinceMicros().size() == status.ready().size();
    Map<ModelVersion, Long> since = new HashMap<>();
    for (int index = 0; index < status.ready().size(); index++) {
      ModelVersion version = status.ready().get(index);
      long firstReported = readySinceMicros.getOrDefault(version, lastMessageMicros);
      since.put(version, hasTimes ? status.readySinceMicros().get(index) : firstReported);
    }
    return Map.copyOf(since);
  }
}
