package org.shallothook.coordination.weights;

import java.util.Map;

/**
 * What a model server says of its state.
 *
 * <p>Immutable and thread-safe.
 *
 * @param versions version of each model's weights
 * @param isBusy whether an order is being carried out
 * @param acceptedOrders orders accepted in this life of the server
 * @param queued requests that wait
 * @param running requests that were admitted
 * @param generating admitted requests that have made output; the prompts of others are being read
 * @param startedAtMillis start of this life, in milliseconds since the epoch
 */
public record EngineReport(
    Map<String, Long> versions,
    boolean isBusy,
    long acceptedOrders,
    int queued,
    int running,
    int generating,
    long startedAtMillis) {
  /** Time that a prompt of medium length takes to be read; routers scale it by those they know. */
  public static final long READ_HINT_MICROS = 40_000;

  public EngineReport {
    versions = Map.copyOf(versions);
  }

  /** Returns how many requests wait for their prompt to be read. */
  public int queuedPrefills() {
    return queued + Math.max(0, running - generating);
  }

  /** Returns the time until a new prompt would be read, were all of medium length. */
  long queueDelayMicros() {
    return queuedPrefills() * READ_HINT_MICROS;
  }
}
