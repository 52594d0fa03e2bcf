package org.shallothook.coordination.port;

import org.shallothook.state.request.RefusalReason;

/**
 * Counts what decisions do, by name.
 *
 * <p>Names are dotted, with lower-case words joined by hyphens, such as {@code
 * refusals.queue-full}. Implementations are thread-safe and never throw.
 */
@FunctionalInterface
public interface Counters {
  /** Counts nothing. */
  Counters NONE = name -> {};

  /** Adds one to a counter. */
  void increment(String name);

  /**
   * Adds a number to a counter.
   *
   * @param name name of the counter
   * @param amount number to add, not negative
   */
  default void add(String name, long amount) {
    for (long added = 0; added < amount; added++) {
      increment(name);
    }
  }

  /**
   * Takes in how long a step has taken; does nothing unless overridden.
   *
   * @param step the step
   * @param micros its time in microseconds
   */
  default void took(LatencyStep step, long micros) {}

  /** Counts a refusal by its reason. */
  default void refused(RefusalReason reason) {
    increment("refusals." + reason.code());
  }

  /** Counts a retry by the reason of the attempt that failed. */
  default void retried(RefusalReason reason) {
    increment("retries." + reason.code());
  }
}
