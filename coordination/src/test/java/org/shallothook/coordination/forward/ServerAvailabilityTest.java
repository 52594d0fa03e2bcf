package org.shallothook.coordination.forward;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.shallothook.coordination.message.PeerMessage.SidecarStatus;
import org.shallothook.state.cache.ModelVersion;
import org.shallothook.state.request.RefusalReason;
import org.shallothook.state.route.ServerEntry;

/**
 * Covers what servers state about themselves in responses: that they are leaving, or closed for a
 * time.
 */
final class ServerAvailabilityTest {
  private static ResponseHead head(int status, boolean isNotRun, boolean isLeaving, long closedMs) {
    Optional<Long> closed =
        closedMs > 0 ? Optional.of(closedMs * ForwardHarness.MILLI) : Optional.empty();
    return new ResponseHead(
        status, isNotRun, Optional.empty(), Optional.empty(), isLeaving, closed);
  }

  @ParameterizedTest
  @CsvSource({"200, false", "500, false", "503, true"})
  void aServerThatSaysItIsLeavingGetsNoFurtherRequests(int status, boolean isNotRun) {
    ForwardHarness harness = ForwardHarness.ready(0, 2);
    long first = harness.submitCall("/book/1");
    String leaving = harness.serverOf(first);

    harness.respond(first, head(status, isNotRun, true, 0));

    for (int round = 0; round < 6; round++) {
      long next = harness.submitCall("/book/" + round);
      assertThat(harness.serverOf(next)).isNotEqualTo(leaving);
      harness.respond(next, 200);
      harness.complete(next);
      harness.advance(ForwardHarness.SECOND);
    }
    assertThat(harness.commands).contains(new ForwardCommand.AnnounceLeaving(leaving, "1"));
  }

  @ParameterizedTest
  @CsvSource({"1, true", "7, false"})
  void anAnnouncedLeaveAppliesOnlyToThePresentIncarnation(String incarnation, boolean isApplied) {
    ForwardHarness harness = ForwardHarness.ready(0, 1);

    harness.handle(
        new ForwardEvent.StatusReceived(
            new SidecarStatus("service-1", incarnation, List.of(), true, 0)));

    assertThat(harness.sent(harness.submitCall("/book/1")).isEmpty()).isEqualTo(isApplied);
  }

  @Test
  void aRestartedServerWithTheSameNameIsUsedAgain() {
    ForwardHarness harness = ForwardHarness.ready(0, 1);
    long first = harness.submitCall("/book/1");
    harness.respond(first, head(200, false, true, 0));
    harness.complete(first);
    ServerEntry entry = ForwardHarness.service("service-1", 1);
    ServerEntry restarted = ForwardHarness.startedAt(entry, 2);

    harness.handle(new ForwardEvent.ServersRead(List.of(restarted), false));

    assertThat(harness.sent(harness.submitCall("/book/2"))).isPresent();
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void aServerThatAsksForAPauseGetsNoRequestsDuringIt(boolean isNotRun) {
    ForwardHarness harness = ForwardHarness.ready(0, 2);
    long first = harness.submitCall("/book/1");
    String closed = harness.serverOf(first);
    harness.respond(first, head(503, isNotRun, false, 3_000));

    for (int round = 0; round < 14; round++) {
      harness.advance(200 * ForwardHarness.MILLI);
      long next = harness.submitCall("/book/" + round);
      assertThat(harness.serverOf(next)).isNotEqualTo(closed);
      harness.respond(next, 200);
      harness.complete(next);
    }
  }

  @Test
  void aSidecarStatusDoesNotReopenAClosedServer() {
    ForwardHarness harness = ForwardHarness.ready(1, 0);
    long first = harness.submitLongPrompt("one");
    harness.respond(first, head(503, true, false, 3_000));

    harness.handle(
        new ForwardEvent.StatusReceived(
            new SidecarStatus(
                "engine-1", "1", List.of(ModelVersion.of(ForwardHarness.MODEL, "1")), false, 0)));

    assertThat(harness.sent(harness.submitLongPrompt("two"))).isEmpty();
    harness.advance(3 * ForwardHarness.SECOND);
    assertThat(harness.sent(harness.submitLongPrompt("three"))).isPresent();
  }

  @Test
  void aRequestIsRefusedImmediatelyIfEveryServerIsClosedForLonger() {
    ForwardHarness harness = ForwardHarness.ready(0, 1);
    long first = harness.submitCall("/book/1");
    harness.respond(first, head(503, true, false, 3_000));
    harness.advance(100 * ForwardHarness.MILLI);

    long next = harness.submitCall("/book/2");

    assertThat(harness.refusal(next).orElseThrow().reason()).isEqualTo(RefusalReason.NO_UPSTREAM);
    assertThat(harness.refusal(next).orElseThrow().retryAtMicros())
        .hasValue(harness.now() + 2_900 * ForwardHarness.MILLI);
  }
}
