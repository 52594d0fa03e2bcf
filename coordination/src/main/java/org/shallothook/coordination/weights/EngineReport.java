package org.shallothook.coordination.weights;

import java.util.Map;

/**
 * State that a model server reports.
 *
 * <p>Immutable and thread-safe.
 *
 * @param versions version of each model's weights
 * @param isBusy whether a load order is in progress
 * @param acceptedOrders load orders accepted in this incarnation of the server
 * @param queued number of requests in the queue
 * @param running number of admitted requests
 * @param generating number of admitted requests that have produced output; the others are in
 *     prefill
 * @param startedAtMillis start of this incarnation, in milliseconds since the epoch
 */
public record EngineReport(
    Map<String, Long> versions,
    boolean isBusy,
    long acceptedOrders,
    int queued,
    int running,
    int generating,
    long startedAtMillis) {
  /**
   * Assumed prefill time of a prompt of medium length, in microseconds. Routers rescale queue
   * delays by the prefill times that they know.
   */
  public static final long ASSUMED_PREFILL_MICROS = 40_000;

  public EngineReport {
    versions = Map.copyOf(versions);
  }

  /** Returns the number of requests that are queued or in prefill. */
  public int queuedPrefills() {
    return queued + Math.max(0, running - generating);
  }

  /**
   * Returns the time until all pending prefills are done, assuming prompts of medium length, in
   * microseconds.
   */
  long queueDelayMicros() {
    return queuedPrefills() * ASSUMED_PREFILL_MICROS;
  }
}
