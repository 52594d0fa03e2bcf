package org.shallothook.coordination.admission;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Waiting attempts of one class of service, in fair turns by team.
 *
 * <p>Each team has a virtual time that grows by the cost of what it was given. The team with the
 * smallest virtual time goes next; a team that was idle starts at the queue's virtual time, so that
 * it is served at once and gains nothing by having been idle. Attempts that were preempted are paid
 * for and go ahead of the rest.
 *
 * <p>Invariants: the queue's virtual time never decreases; the attempts of a team leave in order of
 * arrival, but for those that are not eligible yet. Not thread-safe: used on the decision thread.
 */
final class FairQueue {

  private static final class Team {
    private final Deque<AdmittedAttempt> attempts = new ArrayDeque<>();
    private double virtualTime;
  }

  private final Map<String, Team> teams = new LinkedHashMap<>();
  private final Deque<AdmittedAttempt> preempted = new ArrayDeque<>();
  private double virtualTime;
  private int waiting;

  /** Returns the number of waiting attempts. */
  int size() {
    return waiting + preempted.size();
  }

  /** Returns the number of waiting attempts of a team that have not run. */
  int sizeOf(String team) {
    Team found = teams.get(team);
    return found == null ? 0 : found.attempts.size();
  }

  /** Returns the attempts expected to run before a further attempt of the team. */
  int aheadOf(String team) {
    int own = sizeOf(team);
    int ahead = preempted.size();
    for (Team other : teams.values()) {
      ahead += Math.min(other.attempts.size(), own + 1);
    }
    return ahead;
  }

  /** Adds an attempt behind those of its team. */
  void add(AdmittedAttempt attempt) {
    Team team = teams.computeIfAbsent(attempt.team(), name -> new Team());
    if (team.attempts.isEmpty()) {
      team.virtualTime = Math.max(team.virtualTime, virtualTime);
    }
    team.attempts.addLast(attempt);
    waiting++;
  }

  /** Adds an attempt that was charged before, ahead of the rest. */
  void addPaid(AdmittedAttempt attempt) {
    preempted.addLast(attempt);
  }

  /** Removes an attempt that gives up waiting. */
  void remove(AdmittedAttempt attempt) {
    if (preempted.remove(attempt)) {
      return;
    }
    Team team = teams.get(attempt.team());
    if (team != null && team.attempts.remove(attempt)) {
      waiting--;
    }
  }

  /** Returns the attempt that goes next among those eligible, without removing it. */
  Optional<AdmittedAttempt> next(Predicate<AdmittedAttempt> eligible) {
    Optional<AdmittedAttempt> resumed = first(preempted, eligible);
    if (resumed.isPresent()) {
      return resumed;
    }
    AdmittedAttempt best = null;
    double bestTime = Double.POSITIVE_INFINITY;
    for (Team team : teams.values()) {
      Optional<AdmittedAttempt> candidate =
          team.virtualTime < bestTime || isTie(team.virtualTime, bestTime)
              ? first(team.attempts, eligible)
              : Optional.empty();
      if (candidate.isPresent() && isBefore(team, candidate.get(), bestTime, best)) {
        best = candidate.get();
        bestTime = team.virtualTime;
      }
    }
    return Optional.ofNullable(best);
  }

  /**
   * Removes an attempt that is about to run, and charges its team.
   *
   * @param attempt attempt returned by {@link #next}
   * @param cost cost in tokens
   */
  void take(AdmittedAttempt attempt, double cost) {
    if (preempted.remove(attempt)) {
      return;
    }
    Team team = teams.get(attempt.team());
    team.attempts.remove(attempt);
    waiting--;
    virtualTime = Math.max(virtualTime, team.virtualTime);
    team.virtualTime += cost;
    attempt.charge(cost);
  }

  /** Gives a team back what an attempt was charged but has not used. */
  void refund(String name, double cost) {
    Team team = teams.get(name);
    if (team != null) {
      team.virtualTime -= Math.max(0, cost);
    }
  }

  /** Forgets idle teams whose virtual time the queue's has reached. */
  void forgetIdleTeams() {
    teams.values().removeIf(team -> team.attempts.isEmpty() && team.virtualTime <= virtualTime);
  }

  /** Returns the newest attempt of the team with most waiting attempts, if any. */
  Optional<AdmittedAttempt> newestOfLongest() {
    return teams.values().stream()
        .filter(team -> !team.attempts.isEmpty())
        .max(
            Comparator.<Team>comparingInt(team -> team.attempts.size())
                .thenComparing(team -> team.attempts.peekFirst().team()))
        .map(team -> team.attempts.peekLast());
  }

  /** Returns all waiting attempts. */
  List<AdmittedAttempt> all() {
    List<AdmittedAttempt> all = new ArrayList<>(preempted);
    teams.values().forEach(team -> all.addAll(team.attempts));
    return all;
  }

  private static Optional<AdmittedAttempt> first(
      Deque<AdmittedAttempt> attempts, Predicate<AdmittedAttempt> eligible) {
    for (AdmittedAttempt attempt : attempts) {
      if (eligible.test(attempt)) {
        return Optional.of(attempt);
      }
    }
    return Optional.empty();
  }

  private static boolean isTie(double time, double other) {
    return Double.compare(time, other) == 0;
  }

  private static boolean isBefore(
      Team team, AdmittedAttempt candidate, double bestTime, AdmittedAttempt best) {
    return best == null
        || team.virtualTime < bestTime
        || candidate.record().offeredMicros() < best.record().offeredMicros()
        || (candidate.record().offeredMicros() == best.record().offeredMicros()
            && candidate.team().compareTo(best.team()) < 0);
  }
}
