package org.shallothook.coordination.forward;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.shallothook.coordination.message.PeerMessage.SidecarStatus;
import org.shallothook.coordination.placement.PlacementCandidate;
import org.shallothook.coordination.placement.RendezvousHash;
import org.shallothook.state.cache.ModelVersion;
import org.shallothook.state.route.ServerEntry;

/**
 * A server as a forwarding router knows it: its entry, the word of its sidecar, and own experience.
 *
 * <p>Invariant: the open requests counted are those that this router has sent and that have not
 * ended. Not thread-safe.
 */
final class Server implements PlacementCandidate {
  /** Time that a server is left alone after a failure, doubled for each further one. */
  private static final long FIRST_PAUSE_MICROS = 150_000;

  private static final int MOST_DOUBLINGS = 3;

  /** Weight of the newest sample of a smoothed value. */
  private static final double SMOOTHING = 0.2;

  /** Time that a server which fails every request counts as later, in microseconds. */
  private static final double FAILURE_MICROS = 2_000_000;

  /** Silence of a sidecar after which its last word counts no more, in microseconds. */
  private static final long STATUS_VALID_MICROS = 3_500_000;

  private final long hash;
  private final Map<String, Long> versions = new HashMap<>();
  private ServerEntry entry;
  private int outstanding;
  private int failuresInRow;
  private double failureShare;
  private double answerMicros;
  private long pausedUntilMicros;
  private long closedUntilMicros;
  private long removedAtMicros = Long.MAX_VALUE;
  private long queueDelayMicros;
  private double sentSinceStatusMicros;
  private long statusUntilMicros;
  private boolean isHeldByStatus;
  private long answeredAtMicros;
  private long silentSinceMicros;

  Server(ServerEntry entry) {
    this.entry = entry;
    this.hash = RendezvousHash.hashOf(entry.id());
    versions.putAll(entry.versions());
  }

  @Override
  public String name() {
    return entry.id();
  }

  @Override
  public long hash() {
    return hash;
  }

  @Override
  public String failureDomain() {
    return entry.failureDomain();
  }

  @Override
  public int outstanding() {
    return outstanding;
  }

  @Override
  public long queueDelayMicros() {
    return queueDelayMicros;
  }

  ServerEntry entry() {
    return entry;
  }

  /** Returns whether this router may have one more request open here. */
  boolean hasPlace() {
    return outstanding < entry.slots();
  }

  /**
   * Returns the time until a new prompt would be read, from the latest word and own sends.
   *
   * @param scale factor on the word of the sidecar, which knows no lengths
   * @param nowMicros time of the question
   */
  double waitMicros(double scale, long nowMicros) {
    boolean isFresh = nowMicros < statusUntilMicros;
    return (isFresh ? scale * queueDelayMicros : 0) + sentSinceStatusMicros;
  }

  /** Returns by how much the server counts as later than it promises, for its failures. */
  double penaltyMicros() {
    return FAILURE_MICROS * failureShare;
  }

  /** Returns the share of recent requests that the server failed, from 0 to 1. */
  double failureShare() {
    return failureShare;
  }

  /** Returns the smoothed time to the beginning of an answer, in microseconds; 0 if unknown. */
  double answerMicros() {
    return answerMicros;
  }

  /** Returns the newest version of a model's weights that the server is known to have. */
  Optional<Long> version(String model) {
    return Optional.ofNullable(versions.get(model));
  }

  /** Returns whether new requests may be sent. */
  boolean isUsable(long nowMicros) {
    boolean isHeld = isHeldByStatus && nowMicros < statusUntilMicros;
    return isListed(nowMicros)
        && nowMicros >= pausedUntilMicros
        && nowMicros >= closedUntilMicros
        && !isHeld;
  }

  private boolean isListed(long nowMicros) {
    return !entry.isLeaving() && nowMicros < removedAtMicros;
  }

  /** Returns whether the server is out of the registry and nothing is open at it. */
  boolean isForgettable(long nowMicros) {
    return nowMicros >= removedAtMicros && outstanding == 0;
  }

  /** Returns whether requests are open and nothing has been heard for a time. */
  boolean isSilent(long longestMicros, long nowMicros) {
    return outstanding > 0
        && nowMicros - Math.max(silentSinceMicros, answeredAtMicros) > longestMicros;
  }

  /** Takes in a newer entry and returns whether the server has started anew. */
  boolean onListed(ServerEntry newer) {
    boolean hasRestarted = newer.startedAtMillis() != entry.startedAtMillis();
    if (hasRestarted) {
      versions.clear();
      failuresInRow = 0;
      pausedUntilMicros = 0;
      isHeldByStatus = false;
    }
    // A leaving server does not come back under the same life.
    boolean isLeaving = newer.isLeaving() || (entry.isLeaving() && !hasRestarted);
    entry = newer.withLeaving(isLeaving);
    removedAtMicros = Long.MAX_VALUE;
    newer.versions().forEach(this::onVersion);
    return hasRestarted;
  }

  /** Returns whether any answer has come since a time. */
  boolean hasAnsweredSince(long micros) {
    return answeredAtMicros > micros;
  }

  void onRemoved(long effectiveAtMicros) {
    removedAtMicros = Math.min(removedAtMicros, effectiveAtMicros);
  }

  void onStatus(SidecarStatus status, long nowMicros) {
    if (status.isLeaving()) {
      // Word of an earlier life says nothing of this one.
      if (status.engineIncarnation().equals(incarnation())) {
        onLeaving();
      }
      return;
    }
    statusUntilMicros = nowMicros + STATUS_VALID_MICROS;
    isHeldByStatus = status.ready().isEmpty();
    queueDelayMicros = status.queueDelayMicros();
    sentSinceStatusMicros = 0;
    for (ModelVersion ready : status.ready()) {
      onVersion(ready.model(), Long.parseLong(ready.version()));
    }
    if (!isHeldByStatus && !status.engineIncarnation().isEmpty()) {
      pausedUntilMicros = Math.min(pausedUntilMicros, nowMicros);
    }
  }

  /** Takes in that the server has a version of a model's weights. */
  void onVersion(String model, long version) {
    versions.merge(model, version, Math::max);
  }

  /** Takes in that the server does not have the version that was expected of it. */
  void onWrongVersion(String model, long expected, Optional<Long> wanted) {
    boolean isNewer = wanted.filter(version -> version > expected).isPresent();
    if (isNewer) {
      onVersion(model, wanted.orElseThrow());
    } else {
      Long listed = entry.versions().get(model);
      versions.put(model, listed == null ? 0L : Math.min(listed, expected - 1));
    }
  }

  void onOpened(long nowMicros) {
    if (outstanding == 0) {
      silentSinceMicros = nowMicros;
    }
    outstanding++;
  }

  void onClosed() {
    outstanding--;
    if (outstanding == 0) {
      sentSinceStatusMicros = 0;
    }
  }

  /** Takes in that a prompt was sent which takes some time to read. */
  void onPromptSent(double readMicros) {
    sentSinceStatusMicros += readMicros;
  }

  /** Takes in that a prompt was read. */
  void onPromptRead(double readMicros) {
    sentSinceStatusMicros = Math.max(0, sentSinceStatusMicros - readMicros);
  }

  void onAnswer(long tookMicros, boolean isFailure, long nowMicros) {
    answeredAtMicros = nowMicros;
    failuresInRow = 0;
    answerMicros =
        answerMicros == 0 ? tookMicros : answerMicros + SMOOTHING * (tookMicros - answerMicros);
    failureShare += SMOOTHING * ((isFailure ? 1 : 0) - failureShare);
  }

  /** Leaves the server alone for a while, longer with each failure in a row. */
  void onFailure(long nowMicros) {
    long pause = FIRST_PAUSE_MICROS << Math.min(MOST_DOUBLINGS, failuresInRow);
    failuresInRow++;
    failureShare += SMOOTHING * (1 - failureShare);
    pausedUntilMicros = Math.max(pausedUntilMicros, nowMicros + pause);
  }

  /** Takes in that the server is being stopped; returns whether that is news. */
  boolean onLeaving() {
    boolean isNew = !entry.isLeaving();
    entry = entry.withLeaving(true);
    return isNew;
  }

  /** Returns the present life of the server, as peers are told of it. */
  String incarnation() {
    return Long.toString(entry.startedAtMillis());
  }

  /**
   * Sends nothing until a time that the server has named. Unlike a pause of the router's own, it
   * holds whatever is heard of the server meanwhile.
   */
  void closeUntil(long untilMicros) {
    closedUntilMicros = Math.max(closedUntilMicros, untilMicros);
  }

  /** Returns when the server takes requests again, if only its own word keeps them away. */
  Optional<Long> reopensAtMicros(long nowMicros) {
    return isListed(nowMicros) && nowMicros < closedUntilMicros
        ? Optional.of(closedUntilMicros)
        : Optional.empty();
  }

  /** Leaves the server alone for a time that the router names. */
  void pause(long untilMicros) {
    pausedUntilMicros = Math.max(pausedUntilMicros, untilMicros);
  }
}
