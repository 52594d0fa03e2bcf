package org.shallothook.coordination.forward;

import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import org.shallothook.state.route.CallerTeam;
import org.shallothook.state.route.Route;

/**
 * A request that has no final answer yet.
 *
 * <p>Invariant: at most one attempt is at a server at any time. Not thread-safe.
 */
final class OpenForward {
  /** How far a request has come. */
  enum Phase {
    WAITING,
    SENT,
    RELAYING;

    /** Returns the form used in log lines. */
    String code() {
      return name().toLowerCase(Locale.ROOT);
    }
  }

  private static final int LOWEST_RANK = 9;

  /** Ranks of routes within one rank of teams, since the team's goes before the route's. */
  private static final int RANKS_OF_A_TEAM = 3;

  private final long number;
  private final RequestHead head;
  private final Route route;
  private final Optional<CallerTeam> team;
  private final String service;
  private final long arrivedMicros;
  private final long deadlineMicros;
  private final Set<String> triedServers = new HashSet<>();
  private Phase phase = Phase.WAITING;
  private Optional<Server> server = Optional.empty();
  private int attempt;
  private int rejections;
  private boolean mayHaveRun;
  private long sentMicros;
  private long waitUntilMicros;
  private Optional<Long> lastEvent;
  private Optional<Long> expectedVersion = Optional.empty();
  private boolean hasBegunAnswer;
  private Optional<PromptPlacement.Place> place = Optional.empty();
  private List<PromptPrefix> prefixes = List.of();

  OpenForward(
      long number,
      RequestHead head,
      Route route,
      Optional<CallerTeam> team,
      String service,
      long arrivedMicros,
      long deadlineMicros) {
    this.number = number;
    this.head = head;
    this.route = route;
    this.team = team;
    this.service = service;
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

  Phase phase() {
    return phase;
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

  Optional<Long> lastEvent() {
    return lastEvent;
  }

  Optional<Long> expectedVersion() {
    return expectedVersion;
  }

  /** Returns whether the caller has been sent the beginning of an answer. */
  boolean hasBegunAnswer() {
    return hasBegunAnswer;
  }

  /** Returns whether any server may have run any part of the request. */
  boolean mayHaveRun() {
    return mayHaveRun;
  }

  /** Returns how many servers have turned the request away. */
  int rejections() {
    return rejections;
  }

  boolean hasTried(Server candidate) {
    return triedServers.contains(candidate.name());
  }

  /** Returns whether another server may run the request. */
  boolean mayRunAgain() {
    return !mayHaveRun || (route.isRepeatable() && hasRunsLeft());
  }

  /** Returns whether another run, beyond those so far, keeps to the limit of the route. */
  boolean hasRunsLeft() {
    return attempt - rejections < route.maximumAttempts();
  }

  long waitUntilMicros() {
    return waitUntilMicros;
  }

  void waitUntil(long untilMicros) {
    phase = Phase.WAITING;
    waitUntilMicros = untilMicros;
  }

  /** Returns the rank of the request, 0 the highest and 9 the lowest. */
  int rank() {
    int ofTeam = team.flatMap(CallerTeam::priority).orElse(0);
    return Math.max(0, Math.min(LOWEST_RANK, RANKS_OF_A_TEAM * ofTeam + route.priority()));
  }

  /** Returns where the prompt of the open attempt was placed. */
  Optional<PromptPlacement.Place> place() {
    return place;
  }

  /** Returns the openings of the prompt in the scope of the open attempt. */
  List<PromptPrefix> openings() {
    return prefixes;
  }

  void onPlaced(PromptPlacement.Place newPlace, List<PromptPrefix> newPrefixes) {
    place = Optional.of(newPlace);
    prefixes = newPrefixes;
  }

  void onSent(Server target, Optional<Long> version, long nowMicros) {
    server = Optional.of(target);
    triedServers.add(target.name());
    expectedVersion = version;
    attempt++;
    phase = Phase.SENT;
    sentMicros = nowMicros;
    target.onOpened(nowMicros);
  }

  /** Takes in that the attempt at the current server is over. */
  void onAttemptOver(boolean mayHaveRunThere) {
    server.ifPresent(Server::onClosed);
    server = Optional.empty();
    mayHaveRun |= mayHaveRunThere;
    rejections += mayHaveRunThere ? 0 : 1;
    phase = Phase.WAITING;
  }

  void onRelaying() {
    phase = Phase.RELAYING;
    hasBegunAnswer = true;
  }

  void onLastEvent(Optional<Long> event) {
    lastEvent = event.or(() -> lastEvent);
  }
}
