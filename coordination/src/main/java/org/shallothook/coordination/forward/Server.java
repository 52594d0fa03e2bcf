package org.shallothook.coordination.forward;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.shallothook.coordination.message.PeerMessage.SidecarStatus;
import org.shallothook.coordination.placement.PlacementCandidate;
import org.shallothook.coordination.placement.RendezvousHash;
import org.shallothook.state.cache.ModelVersion;
import org.shallothook.state.route.ServerEntry;

/**
 * State of a server as known to a forwarding router: its registry entry, the latest status of its
 * sidecar, and the results of this router's own requests.
 *
 * <p>Invariant: {@link #outstanding} counts the requests that this router has sent and that have
 * not ended, {@code unanswered} those of them without a response. Not thread-safe.
 */
final class Server implements PlacementCandidate {
  /** Pause after a failure, in microseconds; doubled with each further failure in a row. */
  private static final long INITIAL_PAUSE_MICROS = 150_000;

  private static final int MAX_PAUSE_DOUBLINGS = 3;

  /** Weight of the newest sample of a smoothed value. */
  private static final double SMOOTHING = 0.2;

  /** Delay added to the expected time of a server that fails every request, in microseconds. */
  private static final double FULL_FAILURE_PENALTY_MICROS = 2_000_000;

  /**
   * Time by which a server whose window is untested is preferred, in microseconds. Only as many
   * routers as the window allows may send to it: without a preference, 2 of 21 routers have no
   * request for it for up to a second, and the others may not use it for as long.
   */
  private static final double UNTESTED_BONUS_MICROS = 100_000;

  /** Time for which a sidecar's status is valid, in microseconds. */
  private static final long STATUS_VALID_MICROS = 3_500_000;

  /**
   * Age that the report behind a sidecar's status may have, in microseconds: prompts sent later
   * than this before the status are not contained in it.
   */
  private static final long STATUS_AGE_MICROS = 250_000;

  private final long hash;
  private final Map<String, Long> versions = new HashMap<>();
  private ServerEntry entry;
  private boolean isEntryCurrent = true;
  private int outstanding;
  private int failuresInRow;
  private double failureRate;
  private double responseMicros;
  private long pausedUntilMicros;
  private long closedUntilMicros;
  private Optional<Long> removedAtMicros = Optional.empty();
  private long queueDelayMicros;
  private final Deque<SentPrefill> sentPrefills = new ArrayDeque<>();
  private long statusExpiresAtMicros;
  private boolean isNotReady;
  private long lastResponseMicros;
  private int unanswered;
  private long unansweredSinceMicros;
  private Optional<LimitShare> limit = Optional.empty();
  private Optional<ServerPace> pace = Optional.empty();
  private double announcedLimit = ServerLimits.NO_LIMIT;
  private long limitAnnouncedMicros = Long.MIN_VALUE / 2;

  /**
   * A prompt of this router that the server has not answered, and that its status need not contain
   * yet.
   */
  private record SentPrefill(long request, long sentMicros, int priority, double prefillMicros) {}

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

  /** Returns the number of this router's requests without a response. */
  int unanswered() {
    return unanswered;
  }

  ServerEntry entry() {
    return entry;
  }

  /** Returns whether this router may send one more request to the server now. */
  boolean hasFreeSlot(long nowMicros) {
    return outstanding < entry.slots()
        && pace.map(window -> window.hasRoom(unanswered)).orElse(true)
        && limit.map(share -> share.isAvailable(nowMicros)).orElse(true);
  }

  /**
   * Returns the expected time until the prefill of a new prompt starts by the latest status, in
   * microseconds; 0 if there is no valid one.
   *
   * @param scale factor for the sidecar's queue delay, which ignores the lengths and priorities of
   *     the queued prompts
   * @param nowMicros current time in microseconds
   */
  double statusWaitMicros(double scale, long nowMicros) {
    return nowMicros < statusExpiresAtMicros ? scale * queueDelayMicros : 0;
  }

  /**
   * Returns the expected prefill time of this router's prompts that the status need not contain, in
   * microseconds. Less urgent prompts do not delay a new one and are left out.
   *
   * @param priority priority of the new prompt
   */
  double sentWaitMicros(int priority) {
    double micros = 0;
    for (SentPrefill sent : sentPrefills) {
      micros += sent.priority() <= priority ? sent.prefillMicros() : 0;
    }
    return micros;
  }

  /**
   * Returns the time added to the server's expected time for its failures, less a bonus while
   * nothing is known of its responses in a new window, in microseconds.
   */
  double penaltyMicros() {
    boolean isUntested = isPaced() && unanswered == 0 && pace.orElseThrow().isUntested();
    return FULL_FAILURE_PENALTY_MICROS * failureRate - (isUntested ? UNTESTED_BONUS_MICROS : 0);
  }

  /** Returns the smoothed share of recent requests that the server failed, from 0 to 1. */
  double failureRate() {
    return failureRate;
  }

  /** Returns the smoothed time to the response head, in microseconds; 0 if unknown. */
  double responseMicros() {
    return responseMicros;
  }

  /** Returns the newest version of a model's weights that the server is known to have loaded. */
  Optional<Long> version(String model) {
    return Optional.ofNullable(versions.get(model));
  }

  /** Returns whether new requests may be sent to the server. */
  boolean isUsable(long nowMicros) {
    return isListed(nowMicros)
        && nowMicros >= pausedUntilMicros
        && nowMicros >= closedUntilMicros
        && !isKnownNotReady(nowMicros);
  }

  /** Returns whether the server's valid status says that it is not ready. */
  boolean isKnownNotReady(long nowMicros) {
    return isNotReady && nowMicros < statusExpiresAtMicros;
  }

  /** Returns whether the server is in the registry and not leaving. */
  boolean isListed(long nowMicros) {
    return !entry.isLeaving() && !isRemoved(nowMicros);
  }

  /** Returns whether the server is out of the registry and has no open requests. */
  boolean isRemovable(long nowMicros) {
    return isRemoved(nowMicros) && outstanding == 0;
  }

  private boolean isRemoved(long nowMicros) {
    return removedAtMicros.filter(at -> nowMicros >= at).isPresent();
  }

  /**
   * Returns whether requests wait for a response and none has arrived for longer than a given time.
   *
   * @param runningMicros current time on the {@link RunningClock}, as in the other methods
   */
  boolean isSilent(long maxSilenceMicros, long runningMicros) {
    return unanswered > 0
        && runningMicros - Math.max(unansweredSinceMicros, lastResponseMicros) > maxSilenceMicros;
  }

  /** Applies a newer registry entry and returns whether the server has restarted. */
  boolean onListed(ServerEntry newer) {
    boolean hasRestarted = newer.startedAtMillis() != entry.startedAtMillis();
    if (hasRestarted) {
      versions.clear();
      failuresInRow = 0;
      pausedUntilMicros = 0;
      isNotReady = false;
    }
    // Leaving is final for an incarnation, also if a later entry does not repeat it.
    boolean isLeaving = newer.isLeaving() || (entry.isLeaving() && !hasRestarted);
    entry = newer.withLeaving(isLeaving);
    isEntryCurrent = true;
    removedAtMicros = Optional.empty();
    newer.versions().forEach(this::onVersion);
    return hasRestarted;
  }

  /** Returns whether any response has arrived since a time. */
  boolean hasRespondedSince(long runningMicros) {
    return lastResponseMicros > runningMicros;
  }

  /** Records the removal of the server from the registry; the earliest time of several counts. */
  void onRemoved(long effectiveAtMicros) {
    removedAtMicros =
        Optional.of(Math.min(removedAtMicros.orElse(effectiveAtMicros), effectiveAtMicros));
  }

  /** Changes when a removal takes effect, if one has been recorded that has not yet done so. */
  void deferRemoval(long effectiveAtMicros, long nowMicros) {
    if (!isRemoved(nowMicros)) {
      removedAtMicros = removedAtMicros.map(earlier -> effectiveAtMicros);
    }
  }

  /** Applies a status and returns whether the server was known not to be ready, and is again. */
  boolean onStatus(SidecarStatus status, long nowMicros) {
    if (status.isLeaving()) {
      // The status of an earlier incarnation does not apply to the present one.
      if (status.engineIncarnation().equals(incarnation())) {
        onLeaving();
      }
      return false;
    }
    boolean wasNotReady = isKnownNotReady(nowMicros);
    isEntryCurrent &= status.engineIncarnation().equals(incarnation());
    statusExpiresAtMicros = nowMicros + STATUS_VALID_MICROS;
    isNotReady = status.ready().isEmpty();
    queueDelayMicros = status.queueDelayMicros();
    while (!sentPrefills.isEmpty()
        && sentPrefills.getFirst().sentMicros() <= nowMicros - STATUS_AGE_MICROS) {
      sentPrefills.removeFirst();
    }
    for (ModelVersion ready : status.ready()) {
      onVersion(ready.model(), Long.parseLong(ready.version()));
    }
    if (!isNotReady && !status.engineIncarnation().isEmpty()) {
      pausedUntilMicros = Math.min(pausedUntilMicros, nowMicros);
    }
    return wasNotReady && !isNotReady;
  }

  /** Records that the server has a version of a model's weights; older ones are ignored. */
  void onVersion(String model, long version) {
    versions.merge(model, version, Math::max);
  }

  /**
   * Records that the server does not have the expected version: it has the desired one if that is
   * newer, an older one otherwise.
   */
  void onVersionMismatch(String model, long expected, Optional<Long> desired) {
    boolean isNewer = desired.filter(version -> version > expected).isPresent();
    if (isNewer) {
      onVersion(model, desired.orElseThrow());
    } else {
      Long listed = entry.versions().get(model);
      versions.put(model, listed == null ? 0L : Math.min(listed, expected - 1));
    }
  }

  void onOpened(long nowMicros, long runningMicros) {
    if (unanswered == 0) {
      unansweredSinceMicros = runningMicros;
    }
    unanswered++;
    outstanding++;
    limit.ifPresent(share -> share.onSent(nowMicros));
  }

  /** Records that a request no longer waits for a response, whether or not it is open. */
  void onAnswered() {
    unanswered--;
  }

  /** Records that a request has ended at the server. */
  void onClosed(long request) {
    outstanding--;
    onPrefillEnded(request);
  }

  /** Records that a prompt with the given expected prefill time was sent. */
  void onPromptSent(long request, int priority, double prefillMicros, long nowMicros) {
    sentPrefills.addLast(new SentPrefill(request, nowMicros, priority, prefillMicros));
  }

  /** Records that the prefill of a request's prompt, if it has one, has finished or is canceled. */
  void onPrefillEnded(long request) {
    sentPrefills.removeIf(sent -> sent.request() == request);
  }

  /** Records the head of a response to a request that ran, and the time that it took. */
  void onResponse(long durationMicros, boolean isFailure, long runningMicros) {
    lastResponseMicros = runningMicros;
    failuresInRow = 0;
    responseMicros =
        responseMicros == 0
            ? durationMicros
            : responseMicros + SMOOTHING * (durationMicros - responseMicros);
    failureRate += SMOOTHING * ((isFailure ? 1 : 0) - failureRate);
  }

  /**
   * Returns whether the registry entry was read after the latest failure and the latest status of
   * another incarnation. Otherwise the server may have restarted, with other software, since its
   * entry was written.
   */
  boolean isEntryCurrent() {
    return isEntryCurrent;
  }

  /**
   * Pauses the server, for longer with each failure in a row, and regards its entry as outdated
   * until the next one is read.
   */
  void onFailure(long nowMicros) {
    isEntryCurrent = false;
    long pause = INITIAL_PAUSE_MICROS << Math.min(MAX_PAUSE_DOUBLINGS, failuresInRow);
    failuresInRow++;
    failureRate += SMOOTHING * (1 - failureRate);
    pausedUntilMicros = Math.max(pausedUntilMicros, nowMicros + pause);
  }

  /** Returns how many requests have failed since the last response. */
  int failuresInRow() {
    return failuresInRow;
  }

  /** Records that the server is shutting down; returns whether this was not known before. */
  boolean onLeaving() {
    boolean isNew = !entry.isLeaving();
    entry = entry.withLeaving(true);
    return isNew;
  }

  /** Returns the incarnation of the server, as announced to peers. */
  String incarnation() {
    return Long.toString(entry.startedAtMillis());
  }

  /**
   * Closes the server until a time that it has asked for. Unlike a pause by the router, this is not
   * shortened by a later status.
   */
  void closeUntil(long untilMicros) {
    closedUntilMicros = Math.max(closedUntilMicros, untilMicros);
  }

  /** Returns when the server reopens, if it is listed and closed at its own request. */
  Optional<Long> reopensAtMicros(long nowMicros) {
    return isListed(nowMicros) && nowMicros < closedUntilMicros
        ? Optional.of(closedUntilMicros)
        : Optional.empty();
  }

  /** Returns this router's share of the limit that the server states, if it states one. */
  Optional<LimitShare> limit() {
    return limit;
  }

  /**
   * Returns the limit that the other routers were last told of, in requests per second, whoever
   * told them.
   */
  double announcedLimit() {
    return announcedLimit;
  }

  long limitAnnouncedMicros() {
    return limitAnnouncedMicros;
  }

  void onLimitAnnounced(double requestsPerSecond, long nowMicros) {
    announcedLimit = requestsPerSecond;
    limitAnnouncedMicros = nowMicros;
  }

  void setLimit(Optional<LimitShare> share) {
    limit = share;
  }

  /** Returns the latest window of the server, which may have ended; empty if it never had one. */
  Optional<ServerPace> pace() {
    return pace;
  }

  /** Returns whether a window limits the requests that the server may have without a response. */
  boolean isPaced() {
    return pace.filter(window -> !window.hasEnded()).isPresent();
  }

  void setPace(ServerPace newPace) {
    pace = Optional.of(newPace);
  }

  /** Sends the server no requests until a time that the router chooses. */
  void pause(long untilMicros) {
    pausedUntilMicros = Math.max(pausedUntilMicros, untilMicros);
  }
}
