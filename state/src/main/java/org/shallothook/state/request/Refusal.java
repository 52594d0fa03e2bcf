package org.shallothook.state.request;

import java.util.Objects;
import java.util.Optional;

/**
 * A final negative answer to a request.
 *
 * <p>Invariant: the outcome is truthful over all attempts of the request. Immutable and
 * thread-safe.
 *
 * @param reason typed reason
 * @param detail what was found, in one sentence; may be empty
 * @param outcome what is known of the request's effect
 * @param retryAtMicros when to come back, in microseconds since the epoch, if coming back helps
 */
public record Refusal(
    RefusalReason reason, String detail, Outcome outcome, Optional<Long> retryAtMicros) {
  public Refusal {
    Objects.requireNonNull(reason, "reason");
    Objects.requireNonNull(detail, "detail");
    Objects.requireNonNull(outcome, "outcome");
    Objects.requireNonNull(retryAtMicros, "retryAtMicros");
  }

  /** Returns a refusal of a request that has not run, without a time to come back. */
  public static Refusal notRun(RefusalReason reason, String detail) {
    return new Refusal(reason, detail, Outcome.NOT_RUN, Optional.empty());
  }

  /** Returns a refusal of a request that has not run, with a time to come back. */
  public static Refusal notRun(RefusalReason reason, String detail, long retryAtMicros) {
    return new Refusal(reason, detail, Outcome.NOT_RUN, Optional.of(retryAtMicros));
  }
}
