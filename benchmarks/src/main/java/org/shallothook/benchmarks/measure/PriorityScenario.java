package org.shallothook.benchmarks.measure;

import java.util.List;
import java.util.Map;
import org.shallothook.benchmarks.virtual.TeamSpec;
import org.shallothook.benchmarks.virtual.VirtualFleet;
import org.shallothook.benchmarks.workload.Deployment;
import org.shallothook.benchmarks.workload.Traffic;

/**
 * A priority team that called once, is idle for an hour, and calls again while ordinary teams load
 * the engines beyond their capacity.
 *
 * <p>Not thread-safe.
 */
final class PriorityScenario {
  private static final double OVERLOAD = 1.5;
  private static final double PRIORITY_REQUESTS_PER_SECOND = 4;
  private static final long HOUR_MICROS = 3_600 * SteadyLoad.SECOND_MICROS;
  private static final long FIRST_CALLS_MICROS = 5 * SteadyLoad.SECOND_MICROS;
  private static final long OVERLOADED_MICROS = 15 * SteadyLoad.SECOND_MICROS;
  private static final long WINDOW_MICROS = 30 * SteadyLoad.SECOND_MICROS;

  private final Deployment deployment;
  private final VirtualFleet fleet;
  private final Traffic traffic;

  PriorityScenario(Deployment deployment, long seed) {
    this.deployment = deployment;
    fleet = deployment.fleet(seed).build();
    traffic = new Traffic(fleet, deployment, seed);
  }

  List<Measure> measures() {
    long start = VirtualFleet.START_MICROS + 2 * SteadyLoad.SECOND_MICROS;
    callAsPriority(start, start + FIRST_CALLS_MICROS);
    long overloaded = start + FIRST_CALLS_MICROS + HOUR_MICROS;
    long back = overloaded + OVERLOADED_MICROS;
    long end = back + WINDOW_MICROS;
    fleet.runUntil(overloaded - SteadyLoad.SECOND_MICROS);
    traffic.send(overloaded, end, OVERLOAD * Traffic.capacity(SteadyLoad.ENGINES));
    callAsPriority(back, end);
    fleet.runUntil(end + OVERLOADED_MICROS);
    RunMetrics window = RunMetrics.of(fleet, back, end);
    RunMetrics priority = window.ofTeam(keyOf(Deployment.PRIORITY_TEAM));
    return List.of(
        new Measure(
            "priority-time-to-first-token-p99",
            deployment,
            "ms",
            priority.timeToFirstTokenMillis(99),
            Bound.atMost(SteadyStateMeasures.FIRST_TOKEN_MILLIS),
            Map.of(
                "p50", priority.timeToFirstTokenMillis(50),
                "p95", priority.timeToFirstTokenMillis(95))),
        new Measure(
            "least-ordinary-complete-share",
            deployment,
            "share of a team's requests",
            leastOrdinaryShare(window),
            Bound.atLeast(Double.MIN_VALUE),
            Map.of()));
  }

  private void callAsPriority(long fromMicros, long untilMicros) {
    traffic.sendOf(Deployment.PRIORITY_TEAM, fromMicros, untilMicros, PRIORITY_REQUESTS_PER_SECOND);
  }

  private String keyOf(String team) {
    return fleet.teams().get(team).key();
  }

  private double leastOrdinaryShare(RunMetrics window) {
    double least = 1;
    for (TeamSpec team : fleet.teams().values()) {
      RunMetrics own = window.ofTeam(team.key());
      if (!team.name().equals(Deployment.PRIORITY_TEAM) && own.requests() > 0) {
        least = Math.min(least, (double) own.complete() / own.requests());
      }
    }
    return least;
  }
}
