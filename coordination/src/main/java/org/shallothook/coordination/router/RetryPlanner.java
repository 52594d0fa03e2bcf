package org.shallothook.coordination.router;

import java.util.SplittableRandom;
import org.shallothook.coordination.membership.UpstreamDirectory;
import org.shallothook.coordination.retry.Backoff;
import org.shallothook.coordination.retry.RetryBudget;
import org.shallothook.coordination.retry.RetryReason;
import org.shallothook.state.request.RefusalReason;

/**
 * Decides whether and when a request is retried.
 *
 * <p>Invariant: the attempts and the retries of each request are bounded, and so are the retries of
 * the whole router that count against the retry budget. Not thread-safe.
 */
final class RetryPlanner {
  private static final int MAXIMUM_RETRIES = 8;
  private static final long BACKOFF_BASE_MICROS = 20_000;
  private static final long BACKOFF_MAXIMUM_MICROS = 1_000_000;
  private static final long BUDGET_WINDOW_MICROS = 10_000_000;
  private static final long CANDIDATE_RETRY_MICROS = 40_000;

  /** Decision on a request whose attempt has failed. Immutable and thread-safe. */
  enum Decision {
    NOW,
    LATER,
    EXHAUSTED,
    BUDGET_EMPTY
  }

  private final RouterOptions options;
  private final UpstreamDirectory directory;
  private final RetryBudget budget;
  private final Backoff backoff;

  RetryPlanner(RouterOptions options, UpstreamDirectory directory, SplittableRandom random) {
    this.options = options;
    this.directory = directory;
    this.budget =
        new RetryBudget(options.retryShare(), options.retryMinimum(), BUDGET_WINDOW_MICROS);
    this.backoff = new Backoff(BACKOFF_BASE_MICROS, BACKOFF_MAXIMUM_MICROS, random);
  }

  /** Returns whether a refusal indicates overload, which retries would make worse. */
  static boolean isOverload(RefusalReason reason) {
    return reason == RefusalReason.QUEUE_FULL || reason == RefusalReason.DEADLINE_UNREACHABLE;
  }

  void onSuccess(long nowMicros) {
    budget.onSuccess(nowMicros);
  }

  /** Decides on a retry and, for {@link Decision#LATER}, schedules it. */
  Decision plan(ChatExchange exchange, RetryReason reason, long nowMicros) {
    Decision decision = tryAcquire(exchange, reason, nowMicros);
    int retry = exchange.retries().size();
    if (decision != Decision.NOW || (retry == 1 && reason != RetryReason.OFFER_UNANSWERED)) {
      return decision;
    }
    exchange.setRetryAtMicros(backoff.retryAtMicros(retry, nowMicros));
    return Decision.LATER;
  }

  /** Counts a retry against every limit, or returns the limit that forbids it. */
  Decision tryAcquire(Exchange exchange, RetryReason reason, long nowMicros) {
    boolean isExhausted =
        exchange.submissions() >= options.maximumAttempts()
            || exchange.retries().size() >= MAXIMUM_RETRIES;
    if (isExhausted) {
      return Decision.EXHAUSTED;
    }
    if (reason.spendsBudget() && !budget.tryAcquire(nowMicros)) {
      return Decision.BUDGET_EMPTY;
    }
    options.counters().increment(reason.counter());
    exchange.addRetry(reason);
    return Decision.NOW;
  }

  /**
   * Returns whether to wait for an engine that can serve the request: the request's wait has not
   * expired and some engines have not reported their status.
   */
  boolean mayWaitForCandidate(ChatExchange exchange, long nowMicros) {
    return nowMicros < exchange.candidateDeadlineMicros() && directory.awaitsEngineStatus();
  }

  /** Schedules another placement of the request, by which time more upstreams may have reported. */
  void scheduleCandidateRetry(ChatExchange exchange, long nowMicros) {
    options.counters().increment(RetryReason.NO_CANDIDATE.counter());
    exchange.setRetryAtMicros(nowMicros + CANDIDATE_RETRY_MICROS);
  }
}
