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
 * What a router believes of one upstream.
 *
 * <p>Invariant: the list and the sidecar each hold their own word on leaving; only the one that
 * gave a word can take it back. Not thread-safe.
 */
public final class Upstream implements PlacementCandidate {
  private final String name;
  private final long hash;
  private Instance instance;
  private boolean isListed = true;
  private boolean hasStatus;
  private boolean isDown;
  private long sidecarIncarnation;
  private String engineIncarnation = "";
  private Map<ModelVersion, Long> readySinceMicros = Map.of();
  private EngineRole role = EngineRole.MIXED;
  private boolean isLeavingBySidecar;
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

  /** Returns the instance as the list last described it. */
  public Instance instance() {
    return instance;
  }

  /** Returns whether the sidecar has reported its state over the present connection. */
  public boolean hasStatus() {
    return hasStatus;
  }

  /** Returns the incarnation of the engine or service, empty while unknown. */
  public String engineIncarnation() {
    return engineIncarnation;
  }

  /** Returns whether any signal says that the upstream takes no new work. */
  public boolean isLeaving() {
    return isGone() || instance.isLeaving() || isLeavingBySidecar;
  }

  /**
   * Returns whether neither the list nor a connected sidecar knows of the upstream. A gap in the
   * list alone does not end it, because the list can be wrong where the sidecar cannot.
   */
  public boolean isGone() {
    return !isListed && !hasStatus;
  }

  /** Returns when an ejection ends, in microseconds since the epoch; 0 if there was none. */
  public long ejectedUntilMicros() {
    return ejectedUntilMicros;
  }

  /** Returns whether the upstream is ejected for slowness. */
  public boolean isEjected(long nowMicros) {
    return nowMicros < ejectedUntilMicros;
  }

  /** Returns whether the upstream is left alone because no connection could be opened or kept. */
  public boolean isUnreachable(long nowMicros) {
    return isDown || nowMicros < unreachableUntilMicros;
  }

  /** Returns whether the upstream has left offers unanswered and was not heard of since. */
  public boolean isSilent(long nowMicros) {
    return nowMicros < silentUntilMicros;
  }

  /** Returns whether new work may be sent. */
  public boolean isUsable(long nowMicros) {
    return !isLeaving() && !isUnreachable(nowMicros);
  }

  /** Returns whether the sidecar says that it can serve the model version now. */
  public boolean isReady(ModelVersion modelVersion) {
    return readySinceMicros.containsKey(modelVersion);
  }

  /** Returns since when the model version can be served here, if it can. */
  public Optional<Long> readySinceMicros(ModelVersion modelVersion) {
    return Optional.ofNullable(readySinceMicros.get(modelVersion));
  }

  /** Returns whether the sidecar says that it can serve any version of a model with its adapter. */
  public boolean hasModel(ModelVersion modelVersion) {
    return readySinceMicros.keySet().stream()
        .anyMatch(
            one ->
                one.model().equals(modelVersion.model())
                    && one.adapter().equals(modelVersion.adapter()));
  }

  /** Returns the role that the engine has, as its sidecar has read it back. */
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

  /** Returns when the sidecar last sent anything, in microseconds since the epoch. */
  public long lastMessageMicros() {
    return lastMessageMicros;
  }

  /** Takes in that an offer was answered. */
  public void onAnswered() {
    unansweredOffers = 0;
  }

  /** Takes in that an offer was not answered in time and returns how many in a row were not. */
  public int onUnanswered() {
    return ++unansweredOffers;
  }

  /** Takes in a queue delay that the sidecar named. */
  public void onQueueDelay(long delayMicros) {
    queueDelayMicros = delayMicros;
  }

  /** Takes in the sidecar's word that the upstream takes no new work. */
  public void onLeaving() {
    isLeavingBySidecar = true;
  }

  /** Takes in the sidecar's word that a model version cannot be served now. */
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

  /** Takes in a status unless an older process of the sidecar sent it. */
  void onStatus(SidecarStatus status, long incarnation) {
    if (incarnation < sidecarIncarnation) {
      return;
    }
    sidecarIncarnation = incarnation;
    hasStatus = true;
    engineIncarnation = status.engineIncarnation();
    readySinceMicros = sinceOf(status);
    isLeavingBySidecar = status.isLeaving();
    queueDelayMicros = status.queueDelayMicros();
    role = status.role();
    unreachableUntilMicros = 0;
    isDown = false;
  }

  /** Takes in that the connection is gone; only a new status of the sidecar makes up for it. */
  void onDown() {
    isDown = true;
    hasStatus = false;
  }

  void onUnreachable(long untilMicros) {
    unreachableUntilMicros = untilMicros;
  }

  void eject(long untilMicros) {
    ejectedUntilMicros = untilMicros;
  }

  /** A sidecar of an earlier build does not say since when: then since it was first heard. */
  private Map<ModelVersion, Long> sinceOf(SidecarStatus status) {
    boolean isSaid = status.readySinceMicros().size() == status.ready().size();
    Map<ModelVersion, Long> since = new HashMap<>();
    for (int index = 0; index < status.ready().size(); index++) {
      ModelVersion version = status.ready().get(index);
      long heard = readySinceMicros.getOrDefault(version, lastMessageMicros);
      since.put(version, isSaid ? status.readySinceMicros().get(index) : heard);
    }
    return Map.copyOf(since);
  }
}
