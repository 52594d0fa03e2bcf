package org.shallothook.coordination.forward;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Load pattern: retries of many routers, while routers are added. */
final class FleetRetryBudgetTest {
  private static final String SERVICE = "bookings";
  private static final long SECOND = 1_000_000;

  private static int spend(FleetRetryBudget budget, long nowMicros) {
    int spent = 0;
    while (spent < 1_000 && budget.tryRetry(SERVICE, nowMicros)) {
      spent++;
    }
    return spent;
  }

  @ParameterizedTest(name = "from {0} to {1} routers")
  @CsvSource({"1, 2", "2, 4", "4, 28", "3, 3", "4, 2"})
  void spentRetriesStillCountWhenARouterIsAdded(int before, int after) {
    FleetRetryBudget budget = new FleetRetryBudget(0.2, 52, 10 * SECOND);
    budget.onRouterCount(before);
    assertThat(spend(budget, SECOND)).isGreaterThan(0);
    budget.onRouterCount(after);
    assertThat(spend(budget, 2 * SECOND)).isEqualTo(0);
  }

  @ParameterizedTest(name = "{0} routers")
  @CsvSource({"1", "4", "28"})
  void retriesOfAllRoutersStayWithinTheSlack(int routers) {
    FleetRetryBudget budget = new FleetRetryBudget(0.2, 52, 10 * SECOND);
    budget.onRouterCount(routers);
    assertThat(routers * spend(budget, SECOND)).isAtMost(52);
  }
}
