package org.shallothook.benchmarks.control;

import java.util.Comparator;
import java.util.Map;
import java.util.function.ToLongFunction;
import org.shallothook.benchmarks.virtual.VirtualFleet;
import org.shallothook.benchmarks.workload.Deployment;
import org.shallothook.benchmarks.workload.Traffic;

/**
 * The control bytes of a fleet under a deployment's traffic, a second and process.
 *
 * <p>Invariant: the same arguments give the same figures to the digit. Not thread-safe.
 */
public final class ControlRun {
  private static final long SECOND_MICROS = 1_000_000;
  private static final long SETTLE_MICROS = 2 * SECOND_MICROS;
  private static final long WARM_MICROS = 18 * SECOND_MICROS;
  private static final long WINDOW_MICROS = 20 * SECOND_MICROS;

  private final Map<String, ByteCounts> byProcess;

  private ControlRun(Map<String, ByteCounts> byProcess) {
    this.byProcess = byProcess;
  }

  /**
   * Runs a fleet.
   *
   * @param deployment whose teams and prompts are sent
   * @param seed seed of the run
   * @param routers number of routers
   * @param engines number of engines
   * @param requestsPerSecond requests to the whole fleet; 0 for an idle one
   */
  public static ControlRun of(
      Deployment deployment, long seed, int routers, int engines, double requestsPerSecond) {
    VirtualFleet fleet = deployment.fleet(seed).routers(routers).engines(engines).build();
    long first = VirtualFleet.START_MICROS + SETTLE_MICROS;
    long start = first + WARM_MICROS;
    long end = start + WINDOW_MICROS;
    ControlBytes bytes = new ControlBytes(start, end);
    fleet.observe(bytes);
    if (requestsPerSecond > 0) {
      new Traffic(fleet, deployment, seed).send(first, end, requestsPerSecond);
    }
    fleet.runUntil(end);
    return new ControlRun(bytes.byProcess());
  }

  /** Returns the mean control bytes a second of processes whose names begin so. */
  public double mean(String prefix) {
    return mean(prefix, ByteCounts::control);
  }

  /** Returns the mean bytes a second of one kind. */
  public double mean(String prefix, MessageKind kind) {
    return mean(prefix, counts -> counts.of(kind));
  }

  /** Returns the control bytes a second of the busiest process. */
  public double greatest(String prefix) {
    return perSecond(busiest(prefix).control());
  }

  /** Returns the bytes a second of one kind at the process that spends most on control. */
  public double ofBusiest(String prefix, MessageKind kind) {
    return perSecond(busiest(prefix).of(kind));
  }

  private ByteCounts busiest(String prefix) {
    return byProcess.entrySet().stream()
        .filter(entry -> entry.getKey().startsWith(prefix))
        .map(Map.Entry::getValue)
        .max(Comparator.comparingLong(ByteCounts::control))
        .orElseGet(ByteCounts::new);
  }

  private double mean(String prefix, ToLongFunction<ByteCounts> figure) {
    return byProcess.entrySet().stream()
        .filter(entry -> entry.getKey().startsWith(prefix))
        .mapToDouble(entry -> perSecond(figure.applyAsLong(entry.getValue())))
        .average()
        .orElse(0);
  }

  private static double perSecond(long bytes) {
    return (double) bytes * SECOND_MICROS / WINDOW_MICROS;
  }
}
