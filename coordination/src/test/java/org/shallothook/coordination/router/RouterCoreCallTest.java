package org.shallothook.coordination.router;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.shallothook.coordination.message.PeerMessage;
import org.shallothook.coordination.router.RouterHarness.Sent;
import org.shallothook.state.request.Outcome;
import org.shallothook.state.request.Refusal;
import org.shallothook.state.request.RefusalReason;
import org.shallothook.state.request.RequestId;

/** Routing, repetition and outcomes of calls to plain services. */
final class RouterCoreCallTest {
  private final RouterHarness harness = RouterHarness.ready(1);

  private List<Sent<PeerMessage.Call>> calls() {
    return harness.sent(PeerMessage.Call.class, message -> true);
  }

  @Test
  void repeatsOfACallGoToTheSameServer() {
    harness.call("book", Optional.of("key-1"));
    harness.call("book", Optional.of("key-1"));

    assertThat(calls()).hasSize(2);
    assertThat(calls().get(0).peer()).isEqualTo(calls().get(1).peer());
  }

  @Test
  void answerOfTheServiceIsPassedOn() {
    RequestId request = harness.call("book", Optional.of("key-1"));
    Sent<PeerMessage.Call> call = calls().get(0);
    PeerMessage.CallAnswer answer =
        new PeerMessage.CallAnswer(call.message().attempt(), 201, "application/json", "{}");
    harness.receive(call.peer(), answer);
    harness.receive(call.peer(), answer);

    assertThat(harness.commands(RouterCommand.AnswerCall.class))
        .containsExactly(new RouterCommand.AnswerCall(request, 201, "application/json", "{}"));
    assertThat(harness.counter("answers.late")).isEqualTo(1);
    assertThat(harness.core.explain(request).get().outcome()).isEqualTo(Outcome.DONE);
  }

  @ParameterizedTest
  @CsvSource({"book, true", "read, false"})
  void keyIsNeededOnlyWhereACallMayNotBeRepeated(String path, boolean isRefused) {
    RequestId request = harness.call(path, Optional.empty());

    assertThat(harness.refusal(request).map(Refusal::reason))
        .isEqualTo(
            isRefused ? Optional.of(RefusalReason.IDEMPOTENCY_KEY_MISSING) : Optional.empty());
  }

  @ParameterizedTest
  @CsvSource({
    "book, lost, 1, UNKNOWN",
    "book, unreachable, 2, NOT_RUN",
    "book, failed-unknown, 1, UNKNOWN",
    "book, failed-not-run, 2, NOT_RUN",
    "read, lost, 2, UNKNOWN",
    "read, failed-unknown, 2, UNKNOWN",
  })
  void callThatMayHaveRunIsSentAgainOnlyIfItMayBeRepeated(
      String path, String fault, int expectedCalls, Outcome outcome) {
    RequestId request = harness.call(path, Optional.of("key-1"));
    for (int round = 0; round < expectedCalls; round++) {
      Sent<PeerMessage.Call> call = calls().get(round);
      injectFault(fault, call);
    }

    assertThat(calls()).hasSize(expectedCalls);
    assertThat(harness.refusal(request).get().outcome()).isEqualTo(outcome);
  }

  private void injectFault(String fault, Sent<PeerMessage.Call> call) {
    switch (fault) {
      case "lost" -> harness.send(new RouterEvent.PeerLost(call.peer()));
      case "unreachable" -> harness.send(new RouterEvent.PeerUnreachable(call.peer()));
      default ->
          harness.receive(
              call.peer(),
              new PeerMessage.Failed(
                  call.message().attempt(),
                  fault.endsWith("unknown")
                      ? RefusalReason.CONNECTION_LOST
                      : RefusalReason.UPSTREAM_LEAVING,
                  fault.endsWith("unknown") ? Outcome.UNKNOWN : Outcome.NOT_RUN,
                  "test",
                  0));
    }
  }

  @Test
  void unknownOutcomeIsNotOverriddenByALaterNotRun() {
    RequestId request = harness.call("read", Optional.of("key-1"));
    injectFault("lost", calls().get(0));
    injectFault("unreachable", calls().get(1));

    assertThat(harness.refusal(request).get().outcome()).isEqualTo(Outcome.UNKNOWN);
  }

  @Test
  void refusalOfAClaimIsFinal() {
    RequestId request = harness.call("book", Optional.of("key-1"));
    Sent<PeerMessage.Call> call = calls().get(0);
    harness.receive(
        call.peer(),
        new PeerMessage.Failed(
            call.message().attempt(),
            RefusalReason.IDEMPOTENCY_KEY_REUSED,
            Outcome.NOT_RUN,
            "test",
            0));

    assertThat(calls()).hasSize(1);
    assertThat(harness.refusal(request).get().reason())
        .isEqualTo(RefusalReason.IDEMPOTENCY_KEY_REUSED);
  }

  @Test
  void unansweredCallEndsAsUnknown() {
    RequestId request = harness.call("book", Optional.of("key-1"));
    harness.advance(10_100_000);

    assertThat(harness.refusal(request).get().reason()).isEqualTo(RefusalReason.DEADLINE_PASSED);
    assertThat(harness.refusal(request).get().outcome()).isEqualTo(Outcome.UNKNOWN);
  }

  @Test
  void goneCallerDoesNotCancelARunningCall() {
    RequestId request = harness.call("book", Optional.of("key-1"));
    harness.send(new RouterEvent.CallerGone(request));

    assertThat(harness.sent(PeerMessage.Cancel.class, message -> true)).isEmpty();
    assertThat(harness.core.status().openRequests()).isEqualTo(0);
  }
}
