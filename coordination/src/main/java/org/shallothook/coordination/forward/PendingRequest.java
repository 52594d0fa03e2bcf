package org.shallothook.coordination.forward;

import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import org.shallothook.coordination.allowance.AllowanceCharge;
import org.shallothook.coordination.quarantine.RequestSignature;
import org.shallothook.state.route.CallKind;
import org.shallothook.state.route.CallerTeam;
import org.shallothook.state.route.PromptOutline;
import org.shallothook.state.route.Route;

/**
 * A request that has no final response yet.
 *
 * <p>Invariant: at most one attempt is at a server at any time. Not thread-safe.
 */
final class PendingRequest {
  /** Phase of a request. */
  enum Phase {
    /** Waits for a server with a free slot. */
    WAITING,
    /** At a server that has not responded yet. */
    SENT,
    /** At a server whose response is being relayed. */
    RELAYING,
    /** Waits until it is known which software version began its stream. */
    UNRESOLVED,
    /** Waits until it is known whether the server that broke its connection has crashed. */
    HELD;

    /** Returns the name used in log lines. */
    String code() {
      return name().toLowerCase(Locale.ROOT);
    }
  }

  /** Number of the lowest priority; 0 is the highest. */
  static final int LOWEST_PRIORITY = 9;

  /** Route priorities per team priority; the team's priority takes precedence over the route's. */
  private static final int ROUTE_PRIORITIES_PER_TEAM = 3;

  private final long number;
  private final RequestHead head;
  private final Route route;
  private final Optional<CallerTeam> team;
  private final Optional<AllowanceCharge> charge;
  private final String service;
  private final RequestSignature signature;
  private final long configurationVersion;
  private final long arrivedMicros;
  private final long deadlineMicros;
  private final Set<String> triedServers = new HashSet<>();

  /** Servers that may have run the request. */
  private final Set<String> ranAt = new HashSet<>();

  /** Servers that were silent when their attempt was moved, and may have gone on since. */
  private final Set<String> movedFrom = new HashSet<>();

  private Phase phase = Phase.WAITING;
  private Optional<Server> server = Optional.empty();
  private int attempt;
  private int rejections;
  private boolean mayHaveRun;
  private long sentMicros;
  private long sentRunningMicros;
  private boolean isUnanswered;
  private Optional<Long> respondedMicros = Optional.empty();
  private Optional<Long> outputStartedMicros = Optional.empty();
  private boolean isSuccessful;
  private long waitUntilMicros;
  private Optional<Boolean> isMovedOnStall = Optional.empty();
  private boolean hasMoved;
  private boolean hasRetry;
  private long resumesFromMicros = Long.MIN_VALUE;
  private Optional<Long> lastEvent;
  private Optional<Long> expectedVersion = Optional.empty();
  private boolean hasStartedResponse;
  private Optional<SoftwareOrigin> sentOrigin = Optional.empty();
  private Optional<SoftwareOrigin> origin = Optional.empty();
  private Optional<PromptPlacement.Placement> placement = Optional.empty();
  private List<PromptPrefix> prefixes = List.of();

  PendingRequest(
      long number,
      RequestHead head,
      Route route,
      Optional<CallerTeam> team,
      Optional<AllowanceCharge> charge,
      String service,
      RequestSignature signature,
      long configurationVersion,
      long arrivedMicros,
      long deadlineMicros) {
    this.number = number;
    this.head = head;
    this.route = route;
    this.team = team;
    this.charge = charge;
    this.service = service;
    this.signature = signature;
    this.configurationVersion = configurationVersion;
    this.arrivedMicros = arrivedMicros;
    this.deadlineMicros = deadlineMicros;
    this.lastEvent = head.resumesAfter();
  }

  long number() {
    return number;
  }

  RequestHead head() {
    return head;
  }

  Route route() {
    return route;
  }

  /** Returns the description of the request's prompt; empty if its route has none. */
  Optional<PromptOutline> prompt() {
    return route.hasPrompt() ? head.prompt() : Optional.empty();
  }

  Optional<CallerTeam> team() {
    return team;
  }

  String service() {
    return service;
  }

  long arrivedMicros() {
    return arrivedMicros;
  }

  long deadlineMicros() {
    return deadlineMicros;
  }

  /** Returns what this request has in common with others that may crash servers. */
  RequestSignature signature() {
    return signature;
  }

  /** Returns the version of the configuration that the request was opened with. */
  long configurationVersion() {
    return configurationVersion;
  }

  Phase phase() {
    return phase;
  }

  /** Returns whether an attempt of the request is open at a server. */
  boolean isAtServer() {
    return phase == Phase.SENT || phase == Phase.RELAYING;
  }

  /** Lets the request wait until it is known whether its last server has crashed. */
  void hold() {
    phase = Phase.HELD;
  }

  /** Lets the request wait until it is known which software version began its stream. */
  void awaitOrigin() {
    phase = Phase.UNRESOLVED;
  }

  /** Binds the request to the software version that began its stream. */
  void beganAt(String version) {
    origin = Optional.of(SoftwareOrigin.ofVersion(service, version));
  }

  Optional<Server> server() {
    return server;
  }

  int attempt() {
    return attempt;
  }

  long sentMicros() {
    return sentMicros;
  }

  /** Returns when the current attempt was sent, on a {@link RunningClock}. */
  long sentRunningMicros() {
    return sentRunningMicros;
  }

  /** Returns when the head of the latest attempt's response arrived; empty if it has none. */
  Optional<Long> respondedMicros() {
    return respondedMicros;
  }

  Optional<Long> lastEvent() {
    return lastEvent;
  }

  Optional<Long> expectedVersion() {
    return expectedVersion;
  }

  /** Returns whether relaying a response to the caller has started. */
  boolean hasStartedResponse() {
    return hasStartedResponse;
  }

  /**
   * Returns the origin of the stream that the request goes on with; empty if it may begin anywhere.
   */
  Optional<SoftwareOrigin> origin() {
    return origin;
  }

  /** Returns whether the software that a server is listed with may run the request. */
  boolean matchesOrigin(Server candidate) {
    return origin.map(known -> known.matches(candidate)).orElse(true);
  }

  /** Returns those of some servers whose software is known to be one that may run the request. */
  List<Server> admittedBySoftware(List<Server> candidates) {
    return origin
        .map(known -> candidates.stream().filter(known::admits).toList())
        .orElse(candidates);
  }

  /** Returns whether any server may have run the request, even in part. */
  boolean mayHaveRun() {
    return mayHaveRun;
  }

  /** Returns how many attempts ended without the request having run. */
  int rejections() {
    return rejections;
  }

  boolean hasTried(Server candidate) {
    return triedServers.contains(candidate.name());
  }

  /**
   * Returns whether a server may get the request, now or when it is usable again. A moved stream
   * may go on at a server that rejected it, and at the one that was silent.
   */
  boolean mayUse(Server candidate) {
    if (!mayHaveRun || movedFrom.contains(candidate.name())) {
      return true;
    }
    Set<String> excluded = mustContinue() ? ranAt : triedServers;
    return hasRunsRemaining() && !excluded.contains(candidate.name());
  }

  /** Returns whether the current attempt, at a silent server, may be moved to another one. */
  boolean mayMoveTo(Server candidate) {
    if (server.filter(current -> current.name().equals(candidate.name())).isPresent()) {
      return false;
    }
    return movedFrom.contains(candidate.name())
        ? candidate.hasRespondedSince(sentRunningMicros)
        : !hasTried(candidate) && hasRunsRemaining();
  }

  /**
   * Returns whether the router took a begun response from a silent server. Its server was sound, so
   * only the deadline ends it while a server may go on with it.
   */
  boolean mustContinue() {
    return hasStartedResponse && hasMoved && route.isResumable();
  }

  /**
   * Returns whether another attempt is allowed: nothing has run yet, or the route allows a repeat.
   */
  boolean mayRetry() {
    return !mayHaveRun || (route.isRepeatable() && hasRunsRemaining());
  }

  /** Returns whether a run at one more server stays within the route's limit. */
  boolean hasRunsRemaining() {
    boolean isFirstRunThere = server.filter(current -> !ranAt.contains(current.name())).isPresent();
    return ranAt.size() + (isFirstRunThere ? 1 : 0) < route.maximumAttempts();
  }

  /** Returns the earliest time at which a moved stream is sent again. */
  long resumesFromMicros() {
    return resumesFromMicros;
  }

  void resumeFrom(long micros) {
    resumesFromMicros = micros;
  }

  long waitUntilMicros() {
    return waitUntilMicros;
  }

  void waitUntil(long untilMicros) {
    phase = Phase.WAITING;
    waitUntilMicros = untilMicros;
  }

  /** Returns the priority of the request, from 0, the highest, to 9, the lowest. */
  int priority() {
    int teamPriority = team.flatMap(CallerTeam::priority).orElse(0);
    return Math.max(
        0, Math.min(LOWEST_PRIORITY, ROUTE_PRIORITIES_PER_TEAM * teamPriority + route.priority()));
  }

  /** Returns the placement of the prompt in the current attempt. */
  Optional<PromptPlacement.Placement> placement() {
    return placement;
  }

  /** Returns the prefixes of the prompt in the scope of the current attempt's server. */
  List<PromptPrefix> prefixes() {
    return prefixes;
  }

  void onPlaced(PromptPlacement.Placement newPlacement, List<PromptPrefix> newPrefixes) {
    placement = Optional.of(newPlacement);
    prefixes = newPrefixes;
  }

  void onSent(Server target, Optional<Long> version, long nowMicros, long runningMicros) {
    server = Optional.of(target);
    triedServers.add(target.name());
    expectedVersion = version;
    sentOrigin = Optional.of(SoftwareOrigin.of(target));
    attempt++;
    phase = Phase.SENT;
    sentMicros = nowMicros;
    sentRunningMicros = runningMicros;
    respondedMicros = Optional.empty();
    outputStartedMicros = Optional.empty();
    isMovedOnStall = Optional.empty();
    hasRetry = false;
    isUnanswered = true;
    target.onOpened(nowMicros, runningMicros);
    charge.ifPresent(paid -> paid.onSent(nowMicros));
  }

  /** Returns whether the request is at a server from which no response has arrived. */
  boolean isUnanswered() {
    return isUnanswered;
  }

  /** Records that the head of the current attempt's response has arrived. */
  void onAnswered() {
    if (isUnanswered) {
      isUnanswered = false;
      server.ifPresent(Server::onAnswered);
    }
  }

  /** Records that the attempt at the current server has ended. */
  void onAttemptEnded(boolean mayHaveRunThere) {
    onAnswered();
    charge.ifPresent(paid -> paid.onAttemptEnded(mayHaveRunThere));
    boolean isMoved = isMovedOnStall.orElse(false);
    server.ifPresent(
        ended -> {
          ended.onClosed(number);
          if (mayHaveRunThere) {
            ranAt.add(ended.name());
            movedFrom.remove(ended.name());
          }
          if (isMoved) {
            hasMoved = true;
            movedFrom.add(ended.name());
          }
        });
    server = Optional.empty();
    mayHaveRun |= mayHaveRunThere;
    rejections += mayHaveRunThere ? 0 : 1;
    phase = Phase.WAITING;
  }

  /**
   * Records that the server of the current attempt is silent.
   *
   * @param isMoved whether a retry was taken from the budget to send the request elsewhere
   * @return whether that is the first time or has changed
   */
  boolean onStalled(boolean isMoved) {
    boolean hasChanged = isMovedOnStall.filter(previous -> previous == isMoved).isEmpty();
    isMovedOnStall = Optional.of(isMoved);
    hasRetry |= isMoved;
    return hasChanged;
  }

  /** Records that the server of the current attempt has failed, whether or not it was silent. */
  void onServerFailed() {
    isMovedOnStall = Optional.empty();
  }

  /** Records that the request is no longer open; gives back what it was charged and did not use. */
  void onClosed(long nowMicros) {
    charge.ifPresent(paid -> paid.close(nowMicros));
  }

  /** Returns whether an attempt of the request was taken from a silent server. */
  boolean hasMoved() {
    return hasMoved;
  }

  /** Returns whether a retry was taken from the budget for the next attempt. */
  boolean hasReservedRetry() {
    return hasRetry;
  }

  /** Keeps a retry that was taken from the budget for the next attempt. */
  void reserveRetry() {
    hasRetry = true;
  }

  void onRelaying(boolean isSuccess, long nowMicros) {
    respondedMicros = Optional.of(nowMicros);
    isSuccessful = isSuccess;
    phase = Phase.RELAYING;
    hasStartedResponse = true;
    if (origin.isEmpty() && route.kind() == CallKind.STREAMING) {
      origin = sentOrigin.map(sent -> sent.atResponse(server.orElseThrow()));
    }
  }

  /** Records that output of the current attempt has begun to arrive, on a {@link RunningClock}. */
  void onOutputStarted(long runningMicros) {
    outputStartedMicros = Optional.of(runningMicros);
  }

  /**
   * Returns for how long output of the current attempt has arrived, in microseconds.
   *
   * @param lastOutputMicros when output last arrived, on the clock of {@link #onOutputStarted}
   */
  long outputMicros(long lastOutputMicros) {
    return outputStartedMicros.map(at -> lastOutputMicros - at).orElse(0L);
  }

  /** Returns whether the response being relayed is a success. */
  boolean isSuccessful() {
    return isSuccessful;
  }

  void onLastEvent(Optional<Long> event) {
    lastEvent = event.or(() -> lastEvent);
  }
}
