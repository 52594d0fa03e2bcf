package org.shallothook.coordination.forward;

import java.util.HashMap;
import java.util.Map;
import org.shallothook.coordination.weights.EngineReport;

/**
 * Estimates the mean prefill time of the prompts queued at the servers of each service.
 *
 * <p>Handles queues of long prompts: sidecars report a queue delay that is based on the number of
 * queued prompts alone, which is too low under load, when most of them are long. This router's own
 * queued prompts serve as a sample of the prompts of all routers.
 *
 * <p>Invariant: the scale factor stays within fixed bounds. Not thread-safe.
 */
final class PrefillBacklog {
  /** Weight of the newest sample; each queued prompt is sampled once a tick. */
  private static final double SMOOTHING = 0.1;

  private static final double MIN_SCALE = 0.5;
  private static final double MAX_SCALE = 8;

  private final Map<String, Double> meanPrefillMicros = new HashMap<>();

  /** Records the prefill time of one of this router's own prompts that is queued at a server. */
  void onQueuedPrefill(String service, double prefillMicros) {
    meanPrefillMicros.merge(
        service, prefillMicros, (known, sample) -> known + SMOOTHING * (sample - known));
  }

  /** Returns the factor by which to multiply the queue delay that sidecars report. */
  double scale(String service) {
    double mean =
        meanPrefillMicros.getOrDefault(service, (double) EngineReport.ASSUMED_PREFILL_MICROS);
    return Math.max(MIN_SCALE, Math.min(MAX_SCALE, mean / EngineReport.ASSUMED_PREFILL_MICROS));
  }
}
