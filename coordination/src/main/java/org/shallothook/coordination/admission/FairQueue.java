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
 * Queued attempts of one priority class, scheduled fairly between teams.
 *
 * <p>Each team has a virtual time that grows by the cost of its started attempts. The team with the
 * smallest virtual time is served next. A team that was idle starts at the queue's virtual time, so
 * that it is served promptly but gains no credit for having been idle. Attempts that return to the
 * queue after a run have already been charged and go ahead of the others.
 *
 * <p>Invariants: the queue's virtual time never decreases; the attempts of a team are served in
 * order of arrival, except that ineligible ones are skipped. Not thread-safe: used on the decision
 * thread.
 */
final class FairQueue {

  private static final class Team {
    private final Deque<AdmittedAttempt> attempts = new ArrayDeque<>();
    private double virtualTime;
  }

  private final Map<String, Team> teams = new LinkedHashMap<>();
  private final Deque<AdmittedAttempt> charged = new ArrayDeque<>();
  private double virtualTime;
  private int uncharged;

  /** Returns the number of queued attempts. */
  int size() {
    return uncharged + charged.size();
  }

  /** Returns the number of queued attempts of a team that have not been charged. */
  int sizeOf(String team) {
    Team found = teams.get(team);
    return found == null ? 0 : found.attempts.size();
  }

  /** Returns the number of attempts expected to run before a further attempt of the team. */
  int aheadOf(String team) {
    int own = sizeOf(team);
    int ahead = charged.size();
    for (Team other : teams.values()) {
      ahead += Math.min(other.attempts.size(), own + 1);
    }
    return ahead;
  }

  /** Adds an attempt after those of its team. */
  void add(AdmittedAttempt attempt) {
    Team team = teams.computeIfAbsent(attempt.team(), name -> new Team());
    if (team.attempts.isEmpty()) {
      team.virtualTime = Math.max(team.virtualTime, virtualTime);
    }
    team.attempts.addLast(attempt);
    uncharged++;
  }

  /** Adds an attempt that has already been charged, ahead of those that have not. */
  void addCharged(AdmittedAttempt attempt) {
    charged.addLast(attempt);
  }

  /** Removes an attempt that ends while it is queued. */
  void remove(AdmittedAttempt attempt) {
    if (charged.remove(attempt)) {
      return;
    }
    Team team = teams.get(attempt.team());
    if (team != null && team.attempts.remove(attempt)) {
      uncharged--;
    }
  }

  /** Returns the next eligible attempt without removing it. */
  Optional<AdmittedAttempt> next(Predicate<AdmittedAttempt> eligible) {
    Optional<AdmittedAttempt> resumed = firstEligible(charged, eligible);
    if (resumed.isPresent()) {
      return resumed;
    }
    AdmittedAttempt best = null;
    double bestTime = Double.POSITIVE_INFINITY;
    for (Team team : teams.values()) {
      Optional<AdmittedAttempt> candidate =
          team.virtualTime < bestTime || isTie(team.virtualTime, bestTime)
              ? firstEligible(team.attempts, eligible)
              : Optional.empty();
      if (candidate.isPresent() && isBefore(team, candidate.get(), bestTime, best)) {
        best = candidate.get();
        bestTime = team.virtualTime;
      }
    }
    return Optional.ofNullable(best);
  }

  /**
   * Removes an attempt that is about to run, and charges its team unless it was charged before.
   *
   * @param attempt attempt returned by {@link #next}
   * @param cost cost in tokens
   */
  void dequeue(AdmittedAttempt attempt, double cost) {
    if (charged.remove(attempt)) {
      return;
    }
    Team team = teams.get(attempt.team());
    team.attempts.remove(attempt);
    uncharged--;
    virtualTime = Math.max(virtualTime, team.virtualTime);
    team.virtualTime += cost;
    attempt.charge(cost);
  }

  /** Refunds a team the part of a charge that an attempt has not used. */
  void refund(String name, double cost) {
    Team team = teams.get(name);
    if (team != null) {
      team.virtualTime -= Math.max(0, cost);
    }
  }

  /** Removes idle teams whose virtual time is not ahead of the queue's. */
  void removeIdleTeams() {
    teams.values().removeIf(team -> team.attempts.isEmpty() && team.virtualTime <= virtualTime);
  }

  /** Returns the newest attempt of the team with the most uncharged attempts, if any. */
  Optional<AdmittedAttempt> newestOfLargestTeam() {
    return teams.values().stream()
        .filter(team -> !team.attempts.isEmpty())
        .max(
            Comparator.<Team>comparingInt(team -> team.attempts.size())
                .thenComparing(team -> team.attempts.peekFirst().team()))
        .map(team -> team.attempts.peekLast());
  }

  /** Returns all queued attempts. */
  List<AdmittedAttempt> all() {
    List<AdmittedAttempt> all = new ArrayList<>(charged);
    teams.values().forEach(team -> all.addAll(team.attempts));
    return all;
  }

  private static Optional<AdmittedAttempt> firstEligible(
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
