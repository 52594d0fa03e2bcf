package org.shallothook.coordination.retry;

import java.util.Locale;
import java.util.Optional;
import org.shallothook.state.request.Outcome;
import org.shallothook.state.request.RefusalReason;

/**
 * Reason for which a request is retried.
 *
 * <p>Only reasons after which work of an upstream may have been wasted spend the retry budget.
 * Immutable and thread-safe.
 */
public enum RetryReason {
  /** The engine terminated while it ran the request. */
  ENGINE_LOST(true),
  /** The connection to the sidecar was lost after the prompt was sent. */
  CONNECTION_LOST(true),
  /** The upstream ended the attempt without a complete response for another reason. */
  ATTEMPT_FAILED(true),
  /** A frame was missing from the stream. */
  STREAM_GAP(true),
  /** The stream stalled although the caller had read all of it. */
  STREAM_STALLED(true),
  /** The sidecar handed the request back before it reached the engine. */
  HANDED_BACK(false),
  /** No connection to the sidecar could be opened. */
  UPSTREAM_UNREACHABLE(false),
  /** No upstream replied to an offer in time. */
  OFFER_UNANSWERED(false),
  /** No upstream was known to have the model version. */
  NO_CANDIDATE(false);

  private final boolean spendsBudget;

  RetryReason(boolean spendsBudget) {
    this.spendsBudget = spendsBudget;
  }

  /**
   * Returns the reason to retry a failed attempt at a model request; empty if it must not be
   * retried.
   *
   * @param failure reason given by the sidecar
   * @param outcome whether the attempt may have reached the engine
   */
  public static Optional<RetryReason> after(RefusalReason failure, Outcome outcome) {
    return switch (failure) {
      case ENGINE_LOST, NO_UPSTREAM ->
          Optional.of(outcome == Outcome.NOT_RUN ? HANDED_BACK : ENGINE_LOST);
      case CONNECTION_LOST -> Optional.of(CONNECTION_LOST);
      case UPSTREAM_LEAVING,
          WRONG_VERSION,
          QUEUE_FULL,
          CONFIGURATION_BEHIND,
          STREAM_CANNOT_RESUME ->
          Optional.of(outcome == Outcome.NOT_RUN ? HANDED_BACK : ATTEMPT_FAILED);
      default -> Optional.empty();
    };
  }

  /** Returns whether a retry for this reason spends the retry budget. */
  public boolean spendsBudget() {
    return spendsBudget;
  }

  /** Returns the name of the counter, such as {@code retries.engine-lost}. */
  public String counter() {
    return "retries." + code();
  }

  /** Returns the stable code, such as {@code engine-lost}. */
  public String code() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
