package org.shallothook.benchmarks.measure;

import java.util.List;
import java.util.Map;
import org.shallothook.benchmarks.virtual.VirtualFleet;
import org.shallothook.benchmarks.workload.Deployment;

/**
 * A router that is restarted under load: its first requests against the steady state.
 *
 * <p>A steady state in which requests get no first token at all cannot be met.
 *
 * <p>Not thread-safe.
 */
final class RestartScenario {
  private static final String ROUTER = "router-1";
  private static final int FIRST_REQUESTS = 100;
  private static final double TOLERANCE = 0.1;
  private static final long STEADY_MICROS = 10 * SteadyLoad.SECOND_MICROS;
  private static final long DOWN_MICROS = SteadyLoad.SECOND_MICROS / 2;

  private final Deployment deployment;
  private final long seed;

  RestartScenario(Deployment deployment, long seed) {
    this.deployment = deployment;
    this.seed = seed;
  }

  List<Measure> measures() {
    SteadyLoad load = SteadyLoad.start(deployment, seed, SteadyLoad.BOUNDED_LOAD);
    VirtualFleet fleet = load.fleet();
    long restart = load.windowStartMicros() + STEADY_MICROS;
    long end = restart + STEADY_MICROS;
    fleet.at(restart, () -> fleet.restart(fleet.router(ROUTER), DOWN_MICROS));
    load.endAt(end);
    load.runOut(end);
    RunMetrics steady = RunMetrics.of(fleet, load.windowStartMicros(), restart);
    RunMetrics first =
        RunMetrics.of(fleet, restart + DOWN_MICROS, end).firstOf(ROUTER, FIRST_REQUESTS);
    double greatest =
        Math.min((1 + TOLERANCE) * steady.timeToFirstTokenMillis(95), RunMetrics.NEVER_MILLIS - 1);
    return List.of(
        new Measure(
            "restarted-router-hit-rate",
            deployment,
            "share of prompt tokens",
            first.hitRate(),
            Bound.atLeast((1 - TOLERANCE) * steady.hitRate()),
            Map.of("steady", steady.hitRate())),
        new Measure(
            "restarted-router-time-to-first-token-p95",
            deployment,
            "ms",
            first.timeToFirstTokenMillis(95),
            Bound.atMost(greatest),
            Map.of("steady", steady.timeToFirstTokenMillis(95))));
  }
}
