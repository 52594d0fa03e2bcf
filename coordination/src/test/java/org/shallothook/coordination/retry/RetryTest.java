package org.shallothook.coordination.retry;

import static com.google.common.truth.Truth.assertThat;

import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Test;

/** Tests the retry budget and the back-off. */
final class RetryTest {

  @Property(seed = "61", tries = 200)
  void retriesStayWithinTheShareOfRecentSuccesses(
      @ForAll @IntRange(max = 500) int successes, @ForAll @IntRange(max = 20) int minimum) {
    RetryBudget budget = new RetryBudget(0.2, minimum, 10_000_000);
    for (int success = 0; success < successes; success++) {
      budget.onSuccess(1_000_000);
    }
    int allowed = 0;
    while (allowed < 1_000 && budget.tryAcquire(1_000_000)) {
      allowed++;
    }
    assertThat(allowed).isEqualTo((int) Math.ceil(minimum + 0.2 * successes));
  }

  @Test
  void successesCountOnlyWithinTheWindow() {
    RetryBudget budget = new RetryBudget(1.0, 0, 10_000_000);
    budget.onSuccess(1_000_000);

    assertThat(budget.tryAcquire(12_000_000)).isFalse();
  }

  @Property(seed = "62", tries = 200)
  void backoffIsJitteredAndBounded(@ForAll @IntRange(min = 1, max = 60) int retry) {
    Backoff backoff = new Backoff(10_000, 1_000_000, new SplittableRandom(retry));
    long wait = backoff.retryAtMicros(retry, 5_000_000) - 5_000_000;

    assertThat(wait).isAtLeast(0);
    assertThat(wait).isAtMost(Math.min(1_000_000L, 10_000L << Math.min(retry - 1, 16)));
  }
}
