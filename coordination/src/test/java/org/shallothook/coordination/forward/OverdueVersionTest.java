package org.shallothook.coordination.forward;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.shallothook.state.log.WrittenTime;
import org.shallothook.state.request.Outcome;
import org.shallothook.state.request.Refusal;

/** Routers that learn late of a version of weights: after a start, a pause or an outage. */
final class OverdueVersionTest {
  private static final long UNDISRUPTED = Long.MIN_VALUE / 2;
  private final ForwardHarness harness = ForwardHarness.ready(1, 0);

  /** Returns whether a server with older weights is sent a prompt. */
  private boolean isServedAfter(long millis) {
    harness.advance(millis * ForwardHarness.MILLI);
    return harness.sent(harness.submitLongPrompt("register")).isPresent();
  }

  /** Sets a version and waits until 100 ms before its deadline. */
  private void setDesiredVersionSoonOverdue() {
    harness.setDesiredVersion(2);
    harness.advance(5_900 * ForwardHarness.MILLI);
  }

  private void listUpdatedServer() {
    harness.handle(
        new ForwardEvent.ServersRead(List.of(ForwardHarness.engine("engine-2", 2, 2)), false));
  }

  private long beforeNow(long millis) {
    return harness.now() - millis * ForwardHarness.MILLI;
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
    harness.setDesiredVersion(
        2, new WrittenTime(Optional.of(beforeNow(writtenBeforeMillis)), UNDISRUPTED));
    assertThat(isServedAfter(afterMillis)).isEqualTo(isServed);
  }

  // Guards against requests on older weights after the deadline, at a router that has started.
  @ParameterizedTest(name = "found {0} ms after the start, {1} ms later: served {2}")
  @CsvSource({
    "0, 0, true",
    "0, 2300, true",
    "0, 2440, false",
    "1200, 1100, true",
    "1200, 1240, false",
    "3000, 0, false",
  })
  void aVersionOfUnknownAgeIsOverdueSoonAfterTheStart(
      long foundMillis, long afterMillis, boolean isServed) {
    harness.setDesiredVersion(2, new WrittenTime(Optional.empty(), beforeNow(foundMillis)));
    assertThat(isServedAfter(afterMillis)).isEqualTo(isServed);
  }

  // Guards against a router that has no server to use as soon as it is back in contact.
  @ParameterizedTest(name = "{0} ms after the end of a disruption of 9 s: served {1}")
  @CsvSource({"0, true", "2300, true", "2440, false"})
  void olderWeightsServeForAShortTimeAfterADisruption(long afterMillis, boolean isServed) {
    harness.setDesiredVersion(2, new WrittenTime(Optional.of(beforeNow(9_000)), harness.now()));
    assertThat(isServedAfter(afterMillis)).isEqualTo(isServed);
  }

  // Guards against a request that starts on older weights when its server is thawed.
  @ParameterizedTest(name = "{0} ms after the deadline: withdrawn {1}")
  @CsvSource({"800, false", "1100, true"})
  void aRequestThatHasNotStartedIsWithdrawnAfterTheDeadline(long millis, boolean isWithdrawn) {
    setDesiredVersionSoonOverdue();
    long request = harness.submitLongPrompt("register");
    assertThat(harness.serverOf(request)).isEqualTo("engine-1");
    long other = harness.submitShortPrompt("letter");
    harness.advance(100 * ForwardHarness.MILLI);
    harness.respond(other, 200);
    listUpdatedServer();
    harness.advance(millis * ForwardHarness.MILLI);
    assertThat(harness.sends(request) > 1).isEqualTo(isWithdrawn);
  }

  // Guards against the same for a request that may not be repeated: it must fail instead.
  @ParameterizedTest(name = "{0} ms after the deadline: failed {1}")
  @CsvSource({"800, false", "1100, true"})
  void aRequestThatMayNotBeRepeatedFailsAfterTheDeadline(long millis, boolean hasFailed) {
    setDesiredVersionSoonOverdue();
    long request = harness.submitShortPrompt("letter");
    listUpdatedServer();
    harness.advance((100 + millis) * ForwardHarness.MILLI);
    assertThat(harness.sends(request)).isEqualTo(1);
    assertThat(harness.refusal(request).map(Refusal::outcome))
        .isEqualTo(hasFailed ? Optional.of(Outcome.UNKNOWN) : Optional.empty());
  }
}
