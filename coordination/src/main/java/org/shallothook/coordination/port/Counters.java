package org.shallothook.coordination.port;

import org.shallothook.state.request.RefusalReason;

/**
 * Named counters and latency measurements of decisions.
 *
 * <p>Names are dotted, with lower-case words joined by hyphens, such as {@code
 * refusals.queue-full}. Implementations are thread-safe and never throw.
 */
@FunctionalInterface
public interface Counters {
  /** Discards everything. */
  Counters NONE = name -> {};

  /** Increments a counter by one. */
  void increment(String name);

  /**
   * Adds a number to a counter.
   *
   * @param name name of the counter
   * @param amount number to add; not negative
   */
  default void add(String name, long amount) {
    for (long added = 0; added < amount; added++) {
      increment(name);
    }
  }

  /**
   * Records the duration of a step. Does nothing unless overridden.
   *
   * @param step the step
   * @param micros duration in microseconds
   */
  default void recordLatency(LatencyStep step, long micros) {}

  /** Counts a refusal by its reason. */
  default void refused(RefusalReason reason) {
    increment("refusals." + reason.code());
  }

  /** Counts a retry by the reason of the attempt that failed. */
  default void retried(RefusalReason reason) {
    increment("retries." + reason.code());
  }
}
