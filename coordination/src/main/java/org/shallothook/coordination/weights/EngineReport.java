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
 * @param running requests that run
 * @param startedAtMillis start of this life, in milliseconds since the epoch
 */
public record EngineReport(
    Map<String, Long> versions,
    boolean isBusy,
    long acceptedOrders,
    int queued,
    int running,
    long startedAtMillis) {
  public EngineReport {
    versions = Map.copyOf(versions);
  }
}
