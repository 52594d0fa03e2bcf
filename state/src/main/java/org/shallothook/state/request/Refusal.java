package org.shallothook.state.request;

import java.util.Objects;
import java.util.Optional;

/**
 * A final response that tells the caller that a request was refused or ended early.
 *
 * <p>Invariant: the outcome holds for all attempts of the request. Immutable and thread-safe.
 *
 * @param reason why the request was refused
 * @param detail the cause in one sentence; may be empty
 * @param outcome what is known about the execution of the request
 * @param retryAtMicros when to retry, in microseconds since the epoch; empty if a retry at a given
 *     time is not advised
 */
public record Refusal(
    RefusalReason reason, String detail, Outcome outcome, Optional<Long> retryAtMicros) {
  public Refusal {
    Objects.requireNonNull(reason, "reason");
    Objects.requireNonNull(detail, "detail");
    Objects.requireNonNull(outcome, "outcome");
    Objects.requireNonNull(retryAtMicros, "retryAtMicros");
  }

  /** Returns a refusal of a request that has not run, without a retry time. */
  public static Refusal notRun(RefusalReason reason, String detail) {
    return new Refusal(reason, detail, Outcome.NOT_RUN, Optional.empty());
  }

  /**
   * Returns a refusal of a request that has not run, with a retry time in microseconds since the
   * epoch.
   */
  public static Refusal notRun(RefusalReason reason, String detail, long retryAtMicros) {
    return new Refusal(reason, detail, Outcome.NOT_RUN, Optional.of(retryAtMicros));
  }
}
