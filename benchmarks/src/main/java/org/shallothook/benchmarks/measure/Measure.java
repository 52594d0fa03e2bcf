package org.shallothook.benchmarks.measure;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;
import org.shallothook.benchmarks.workload.Deployment;

/**
 * One measured figure with its bound.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name name, stable over builds
 * @param deployment deployment whose traffic it was measured under
 * @param unit unit of the figure
 * @param figure figure
 * @param bound bound from the stated targets
 * @param baselines the same figure of other policies or moments, by name
 */
public record Measure(
    String name,
    Deployment deployment,
    String unit,
    double figure,
    Bound bound,
    Map<String, Double> baselines) {
  public Measure {
    baselines = Collections.unmodifiableMap(new LinkedHashMap<>(baselines));
  }

  /** Returns whether the figure keeps to its bound. */
  public boolean isHeld() {
    return bound.isHeldBy(figure);
  }
}
