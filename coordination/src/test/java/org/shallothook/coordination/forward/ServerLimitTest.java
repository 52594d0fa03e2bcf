package org.shallothook.coordination.forward;

import static com.google.common.truth.Truth.assertWithMessage;
import static org.shallothook.coordination.forward.LimitedFleet.SECOND;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Covers limits that servers state for the requests of all routers together. */
final class ServerLimitTest {
  private static final String LIMITED = "service-1";

  // Guards against a server that states a limit getting more than that from all routers together.
  @ParameterizedTest
  @CsvSource({
    "1, 1, 1",
    "2, 4, 1",
    "3, 4, 3.9",
    "4, 4, 0",
    "5, 12, 1",
    "6, 12, 0.2",
    "7, 12, 40",
    "8, 30, 1",
    "9, 30, 3",
    "10, 4, 150",
    "11, 30, 150",
  })
  void allRoutersTogetherKeepToTheLimitOfAServer(long seed, int routers, double limit) {
    LimitedFleet fleet = new LimitedFleet(routers, 4, seed);
    long start = fleet.now();
    fleet.submitCalls(Math.max(60, 8 * limit), start + 30 * SECOND);
    fleet.runUntil(start + 3 * SECOND);

    fleet.limit(LIMITED, limit);
    fleet.runUntil(start + 30 * SECOND);

    LimitedFleet.Excess worst = fleet.worstExcess(LIMITED);
    assertWithMessage("requests in 4 s, %s allowed", worst.allowed())
        .that((double) worst.requests())
        .isAtMost(worst.allowed());
  }
}
