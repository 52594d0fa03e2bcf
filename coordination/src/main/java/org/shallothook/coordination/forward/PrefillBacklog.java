package org.shallothook.coordination.forward;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;
import org.shallothook.coordination.weights.EngineReport;

/**
 * Estimates the mean prefill time of the prompts queued at the servers of each service, and how
 * much of it is as urgent as a new prompt.
 *
 * <p>Handles queues of long prompts: sidecars report a queue delay that is based on the number of
 * queued prompts alone, which is too low under load, when most of them are long. This router's own
 * queued prompts serve as a sample of the prompts of all routers.
 *
 * <p>Handles urgent prompts beside many that can wait: servers admit the more urgent first, so that
 * only queued prompts of the same or a higher priority delay a new one. Without that, urgent
 * prompts are refused for a queue that they would pass.
 *
 * <p>Invariant: the scale factor stays within fixed bounds, and does not decrease with a lower
 * priority. Not thread-safe.
 */
final class PrefillBacklog {
  /** Weight of the newest sample; each queued prompt is sampled once a tick. */
  private static final double SMOOTHING = 0.1;

  private static final double MIN_SCALE = 0.5;
  private static final double MAX_SCALE = 8;

  /** Weight of the newest sample of the work by priority; less, as urgent prompts may be rare. */
  private static final double PRIORITY_SMOOTHING = 0.02;

  /**
   * Least share of the queue that delays a prompt of any priority: prefills that have begun are
   * finished first.
   */
  private static final double MIN_URGENT_SHARE = 0.2;

  private final Map<String, Double> meanPrefillMicros = new HashMap<>();
  private final Map<String, double[]> workByPriority = new HashMap<>();

  /** Records the prefill time of one of this router's own prompts that is queued at a server. */
  void onQueuedPrefill(String service, int priority, double prefillMicros) {
    meanPrefillMicros.merge(
        service, prefillMicros, (known, sample) -> known + SMOOTHING * (sample - known));
    double[] work =
        workByPriority.computeIfAbsent(
            service, name -> new double[PendingRequest.LOWEST_PRIORITY + 1]);
    for (int other = 0; other < work.length; other++) {
      double sample = other == priority ? prefillMicros : 0;
      work[other] += PRIORITY_SMOOTHING * (sample - work[other]);
    }
  }

  /**
   * Returns the factor by which to multiply the queue delay that sidecars report, for a new prompt
   * of a priority.
   */
  double scale(String service, int priority) {
    double mean =
        meanPrefillMicros.getOrDefault(service, (double) EngineReport.ASSUMED_PREFILL_MICROS);
    double scale = mean / EngineReport.ASSUMED_PREFILL_MICROS;
    return Math.max(MIN_SCALE, Math.min(MAX_SCALE, scale)) * urgentShare(service, priority);
  }

  private double urgentShare(String service, int priority) {
    double[] work = workByPriority.getOrDefault(service, new double[0]);
    double total = Arrays.stream(work).sum();
    double urgent = Arrays.stream(work).limit(priority + 1L).sum();
    return total == 0 ? 1 : Math.max(MIN_URGENT_SHARE, urgent / total);
  }
}
