package org.shallothook.benchmarks.measure;

import org.shallothook.benchmarks.virtual.FleetBuilder;
import org.shallothook.benchmarks.virtual.VirtualFleet;
import org.shallothook.benchmarks.workload.Deployment;
import org.shallothook.benchmarks.workload.Traffic;
import org.shallothook.coordination.placement.PlacementPolicy;
import org.shallothook.coordination.placement.PlacementStrategy;

/**
 * A fleet under a steady load: a light load that fills the caches, the full load, then a window
 * that is measured.
 *
 * <p>Not thread-safe.
 */
final class SteadyLoad {
  /** Number of engines in both deployments. */
  static final int ENGINES = 8;

  /** Load at which latencies are bounded, as a share of capacity. */
  static final double BOUNDED_LOAD = 0.8;

  static final long SECOND_MICROS = 1_000_000;
  private static final long SETTLE_MICROS = 2 * SECOND_MICROS;
  private static final long RAMP_MICROS = 8 * SECOND_MICROS;
  private static final double RAMP_LOAD = 0.25;
  private static final long WARM_MICROS = 14 * SECOND_MICROS;
  private static final long DRAIN_MICROS = 12 * SECOND_MICROS;

  private final VirtualFleet fleet;
  private final Traffic traffic;
  private final double requestsPerSecond;
  private final long windowStartMicros;

  private SteadyLoad(VirtualFleet fleet, Traffic traffic, double requestsPerSecond) {
    this.fleet = fleet;
    this.traffic = traffic;
    this.requestsPerSecond = requestsPerSecond;
    windowStartMicros = VirtualFleet.START_MICROS + SETTLE_MICROS + WARM_MICROS;
  }

  /** Starts a fleet with the policy of the router. */
  static SteadyLoad start(Deployment deployment, long seed, double load) {
    return start(deployment, seed, load, PlacementStrategy.PREFIX_AFFINITY);
  }

  /**
   * Starts a fleet, whose traffic lasts until {@link #endAt} is called with its end.
   *
   * @param load share of capacity
   */
  static SteadyLoad start(
      Deployment deployment, long seed, double load, PlacementPolicy placement) {
    FleetBuilder builder = deployment.fleet(seed).placement(placement);
    VirtualFleet fleet = builder.build();
    Traffic traffic = new Traffic(fleet, deployment, seed);
    return new SteadyLoad(fleet, traffic, load * Traffic.capacity(ENGINES));
  }

  /** Schedules the traffic from the settled fleet until a time. */
  void endAt(long untilMicros) {
    long start = VirtualFleet.START_MICROS + SETTLE_MICROS;
    long full = start + RAMP_MICROS;
    traffic.send(start, full, RAMP_LOAD * Traffic.capacity(ENGINES));
    traffic.send(full, untilMicros, requestsPerSecond);
  }

  /** Runs the whole load with a window of that length and returns its figures. */
  RunMetrics measure(long windowMicros) {
    long end = windowStartMicros + windowMicros;
    endAt(end);
    runOut(end);
    return RunMetrics.of(fleet, windowStartMicros, end);
  }

  /** Runs until the traffic has ended and its requests too. */
  void runOut(long trafficEndMicros) {
    fleet.runUntil(trafficEndMicros + DRAIN_MICROS);
  }

  VirtualFleet fleet() {
    return fleet;
  }

  Traffic traffic() {
    return traffic;
  }

  /** Returns when the warm-up ends. */
  long windowStartMicros() {
    return windowStartMicros;
  }
}
