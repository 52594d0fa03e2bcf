package org.shallothook.coordination.forward;

import java.util.HashMap;
import java.util.Map;
import org.shallothook.coordination.weights.EngineReport;

/**
 * How long the prompts take to be read that wait at the servers of each service, on average.
 *
 * <p>Pattern answered: sidecars count the prompts that wait, and under load long ones are most of
 * them. What this router's own waiting prompts need stands for those of all.
 *
 * <p>Invariant: the scale stays within fixed bounds. Not thread-safe.
 */
final class PrefillBacklog {
  /** Weight of the newest sample, one a tick. */
  private static final double SMOOTHING = 0.1;

  private static final double LEAST_SCALE = 0.5;
  private static final double MOST_SCALE = 8;

  private final Map<String, Double> meanMicros = new HashMap<>();

  /** Takes in what one of the router's own prompts needs that waits at a server of a service. */
  void onWaiting(String service, double readMicros) {
    meanMicros.merge(service, readMicros, (known, sample) -> known + SMOOTHING * (sample - known));
  }

  /** Returns the factor from the delay that sidecars tell to the one expected. */
  double scale(String service) {
    double mean = meanMicros.getOrDefault(service, (double) EngineReport.READ_HINT_MICROS);
    return Math.max(LEAST_SCALE, Math.min(MOST_SCALE, mean / EngineReport.READ_HINT_MICROS));
  }
}
