package org.shallothook.benchmarks.measure;

import java.util.Collections;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.shallothook.benchmarks.workload.Deployment;
import org.shallothook.benchmarks.workload.Traffic;

/**
 * Goodput about the capacity of each deployment, measured once.
 *
 * <p>Thread-safe.
 */
public final class Peaks {
  private static final double[] LOADS = {0.9, 1.0, 1.1};
  private static final long WINDOW_MICROS = 12 * SteadyLoad.SECOND_MICROS;

  private final long seed;
  private final Map<Deployment, Map<Double, Double>> goodputs = new EnumMap<>(Deployment.class);

  /** Creates peaks that are measured when they are asked for. */
  public Peaks(long seed) {
    this.seed = seed;
  }

  /** Returns the seed of all runs. */
  long seed() {
    return seed;
  }

  /** Returns the goodput in requests a second by load, as a share of capacity. */
  synchronized Map<Double, Double> byLoad(Deployment deployment) {
    Map<Double, Double> byLoad = goodputs.get(deployment);
    if (byLoad == null) {
      byLoad = new LinkedHashMap<>();
      for (double load : LOADS) {
        byLoad.put(load, goodput(deployment, load));
      }
      goodputs.put(deployment, byLoad);
    }
    return Collections.unmodifiableMap(byLoad);
  }

  /** Returns the greatest goodput in requests a second. */
  double peak(Deployment deployment) {
    return Collections.max(byLoad(deployment).values());
  }

  /** Returns the goodput at one load. */
  double goodput(Deployment deployment, double load) {
    return SteadyLoad.start(deployment, seed, load).measure(WINDOW_MICROS).goodput();
  }

  /** Returns the load at which twice the peak is offered, as a share of capacity. */
  double doubleLoad(Deployment deployment) {
    return 2 * peak(deployment) / Traffic.capacity(SteadyLoad.ENGINES);
  }
}
