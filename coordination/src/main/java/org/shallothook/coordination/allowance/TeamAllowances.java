package org.shallothook.coordination.allowance;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import org.shallothook.coordination.message.PeerMessage.UsedAllowance;
import org.shallothook.coordination.port.Counters;
import org.shallothook.state.route.TeamAllowance;

/**
 * Allowances of all teams at one router. Routers announce to each other what they have used, and
 * ask nobody before a request.
 *
 * <pre>{@code
 * allowances.onEvent(nowMicros);
 * AllowanceCheck check = allowances.check("team", 900, nowMicros);
 * allowances.announcement(nowMicros).ifPresent(this::send);
 * }</pre>
 *
 * <p>Invariant: holds teams with an allowance and routers of the fleet only; without teams it
 * announces nothing. Not thread-safe.
 */
public final class TeamAllowances {
  /** Time without an event after which this process is taken to have stood still. */
  private static final long STANDSTILL_MICROS = 1_000_000;

  /**
   * Time after a standstill and an interval in which announcements may contain what was used before
   * its end, when the buckets were emptied, in microseconds.
   */
  private static final long CATCH_UP_MICROS = 200_000;

  /** Longest time between two announcements, in microseconds, unless the interval is longer. */
  private static final long REPEAT_MICROS = 1_000_000;

  private final AllowanceBound bound;
  private final Counters counters;
  private final AllowanceFleet fleet = new AllowanceFleet();
  private final Map<String, TeamBudget> budgets = new TreeMap<>();
  private long lastEventMicros = Long.MAX_VALUE;
  private long countsFromMicros = Long.MIN_VALUE;
  private long announcedMicros = Long.MIN_VALUE / 2;
  private boolean wasAnnouncedEmpty = true;

  /**
   * Creates the allowances of a router that knows no teams and no other routers.
   *
   * @param bound how far all routers together may exceed an allowance
   * @param counters counters of requests that were charged again
   */
  public TeamAllowances(AllowanceBound bound, Counters counters) {
    this.bound = Objects.requireNonNull(bound, "bound");
    this.counters = Objects.requireNonNull(counters, "counters");
  }

  /** Records that an event is handled, before it is; a long time without one is a standstill. */
  public void onEvent(long nowMicros) {
    boolean hasStoodStill = nowMicros - lastEventMicros > STANDSTILL_MICROS;
    lastEventMicros = nowMicros;
    if (hasStoodStill) {
      countsFromMicros = nowMicros + fleet.intervalMicros() + CATCH_UP_MICROS;
      budgets.values().forEach(budget -> budget.onStoodStill(nowMicros));
    }
  }

  /** Applies the allowances of a configuration, by team; others are dropped. */
  public void onAllowances(Map<String, TeamAllowance> allowances, long nowMicros) {
    if (budgets.isEmpty()) {
      fleet.onFirstAllowance(nowMicros);
    }
    budgets.keySet().retainAll(allowances.keySet());
    allowances.forEach((team, allowance) -> apply(team, allowance, nowMicros));
  }

  /**
   * Applies the names of all routers.
   *
   * @param self name of this router
   * @param names names of all routers
   */
  public void onRouters(String self, List<String> names, long nowMicros) {
    fleet.onRouters(self, names, nowMicros);
    budgets.values().forEach(budget -> budget.onRouters(nowMicros));
  }

  /**
   * Applies what another router has announced. A team that it lacks has no demand there.
   *
   * @param incarnation incarnation of the router; grows with each restart
   */
  public void onAnnounced(
      String router, long incarnation, List<UsedAllowance> teams, long nowMicros) {
    if (budgets.isEmpty()) {
      return;
    }
    Optional<AllowanceFleet.Arrival> arrival = fleet.onAnnouncement(router, incarnation, nowMicros);
    if (arrival.isEmpty()) {
      return;
    }
    Map<String, UsedAllowance> byTeam = new TreeMap<>();
    teams.forEach(one -> byTeam.put(one.team(), one));
    boolean isCounted = nowMicros >= countsFromMicros;
    budgets.forEach(
        (team, budget) ->
            budget.onAnnounced(
                router,
                arrival.get(),
                Optional.ofNullable(byTeam.get(team)),
                isCounted,
                nowMicros));
  }

  /**
   * Accepts and charges a request, or refuses it; empty if the team has no allowance.
   *
   * @param cost cost of the request
   */
  public Optional<AllowanceCheck> check(String team, long cost, long nowMicros) {
    return Optional.ofNullable(budgets.get(team)).map(budget -> budget.check(cost, nowMicros));
  }

  /** Charges a request that needs no check; empty if the team has no allowance. */
  public Optional<AllowanceCharge> accept(String team, long cost, long nowMicros) {
    return Optional.ofNullable(budgets.get(team)).map(budget -> budget.accept(cost, nowMicros));
  }

  /** Returns what to announce to the other routers now, if it is time to announce anything. */
  public Optional<List<UsedAllowance>> announcement(long nowMicros) {
    long sinceMicros = nowMicros - announcedMicros;
    if (budgets.isEmpty() || fleet.size() == 1 || sinceMicros < fleet.intervalMicros()) {
      return Optional.empty();
    }
    List<UsedAllowance> teams = new ArrayList<>();
    budgets.forEach((team, budget) -> budget.announce(team, nowMicros).ifPresent(teams::add));
    // An empty announcement tells once that there is no more demand, and then that this router
    // runs.
    if (teams.isEmpty() && wasAnnouncedEmpty && sinceMicros < REPEAT_MICROS) {
      return Optional.empty();
    }
    announcedMicros = nowMicros;
    wasAnnouncedEmpty = teams.isEmpty();
    return Optional.of(teams);
  }

  private void apply(String team, TeamAllowance allowance, long nowMicros) {
    TeamBudget budget = budgets.get(team);
    if (budget != null && budget.allowance().unit() == allowance.unit()) {
      budget.change(allowance, nowMicros);
    } else {
      budgets.put(team, new TeamBudget(allowance, fleet, bound, counters, nowMicros));
    }
  }
}
