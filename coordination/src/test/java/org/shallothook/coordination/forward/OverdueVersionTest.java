package org.shallothook.coordination.forward;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.shallothook.state.route.WeightVersion;

/** Routers that learn late of a version of weights: after a start, a pause or an outage. */
final class OverdueVersionTest {
  private static final Optional<Long> UNKNOWN = Optional.empty();

  private static boolean isServed(ForwardHarness harness) {
    long request = harness.submitLongPrompt("register");
    return harness.sent(request).isPresent();
  }

  private static ForwardHarness routerWithAnOutdatedServer(
      long version, Optional<Long> writtenBeforeMillis) {
    ForwardHarness harness = ForwardHarness.ready(1, 0);
    harness.handle(
        new ForwardEvent.DesiredVersionChanged(
            new WeightVersion(ForwardHarness.MODEL, version),
            writtenBeforeMillis.map(millis -> harness.now() - millis * ForwardHarness.MILLI)));
    return harness;
  }

  // Guards against requests on older weights after the deadline, at a router that was not running.
  @ParameterizedTest(name = "written {0} ms before it is learned, {1} ms later: served {2}")
  @CsvSource({
    "0, 5900, true",
    "0, 6040, false",
    "4000, 1900, true",
    "4000, 2040, false",
    "8500, 0, false",
  })
  void theDeadlineCountsFromWhenTheVersionWasWritten(
      long writtenBeforeMillis, long afterMillis, boolean isServed) {
    ForwardHarness harness = routerWithAnOutdatedServer(2, Optional.of(writtenBeforeMillis));
    harness.advance(afterMillis * ForwardHarness.MILLI);
    assertThat(isServed(harness)).isEqualTo(isServed);
  }

  // Guards against requests on older weights after the deadline, at a router that has started.
  @ParameterizedTest(name = "{0} ms after it was found: served {1}")
  @CsvSource({"0, true", "2300, true", "2440, false", "5900, false"})
  void aVersionOfUnknownAgeIsOverdueSoonAfterTheStart(long afterMillis, boolean isServed) {
    ForwardHarness harness = routerWithAnOutdatedServer(2, UNKNOWN);
    harness.advance(afterMillis * ForwardHarness.MILLI);
    assertThat(isServed(harness)).isEqualTo(isServed);
  }
}
