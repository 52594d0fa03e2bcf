package org.shallothook.coordination.router;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.shallothook.coordination.message.CrashRole;
import org.shallothook.coordination.message.Hint;
import org.shallothook.coordination.message.PeerMessage;
import org.shallothook.coordination.router.RouterHarness.Sent;
import org.shallothook.state.request.AttemptId;
import org.shallothook.state.request.Outcome;
import org.shallothook.state.request.Refusal;
import org.shallothook.state.request.RefusalReason;
import org.shallothook.state.request.RequestId;

/** Chat completions from request to end, including refusals, retries, resumption and deadlines. */
final class RouterCoreChatTest {

  @Test
  void offersThenSendsPromptThenStreamsToTheEnd() {
    RouterHarness harness = RouterHarness.ready(4);
    RequestId request = harness.chat("Whose turn is it?");
    AttemptId attempt = harness.acceptLatest(request);
    harness.tokens(attempt, 0, "Maria");
    harness.tokens(attempt, 1, "'s");
    harness.ended(attempt, 2);

    assertThat(harness.answer(request)).isEqualTo("Maria's");
    assertThat(harness.isComplete(request)).isTrue();
    assertThat(harness.core.explain(request).get().outcome()).isEqualTo(Outcome.DONE);
  }

  @ParameterizedTest
  @CsvSource({
    "wrong, linen-8b, parish, hello, UNKNOWN_KEY",
    "linen-key, other-8b, parish, hello, UNKNOWN_MODEL",
    "linen-key, linen-8b, nowhere, hello, MALFORMED_REQUEST",
    "linen-key, linen-8b, parish, , MALFORMED_REQUEST",
  })
  void refusesInvalidRequests(
      String key, String model, String tenant, String content, RefusalReason reason) {
    RouterHarness harness = RouterHarness.ready(4);
    String[] contents = content == null ? new String[0] : new String[] {content};
    RequestId request = harness.chat(key, model, Optional.of(tenant), contents);
    Refusal refusal = harness.refusal(request).get();

    assertThat(refusal.reason()).isEqualTo(reason);
    assertThat(refusal.outcome()).isEqualTo(Outcome.NOT_RUN);
    assertThat(harness.counter("refusals." + reason.code())).isEqualTo(1);
  }

  @ParameterizedTest
  @CsvSource({"wrong, UNKNOWN_KEY", "'', UNKNOWN_KEY", "linen-key, MALFORMED_REQUEST"})
  void reportsAnUnreadableBodyOnlyForValidKeys(String key, RefusalReason reason) {
    RouterHarness harness = RouterHarness.ready(1);
    RequestId request = RequestId.of("router-1", 1, 77);
    Refusal malformed = Refusal.notRun(RefusalReason.MALFORMED_REQUEST, "The body ends early.");
    harness.send(new RouterEvent.MalformedRequested(request, key, malformed));

    assertThat(harness.refusal(request).get().reason()).isEqualTo(reason);
    assertThat(harness.counter("refusals." + reason.code())).isEqualTo(1);
    assertThat(harness.core.explain(request).get().outcome()).isEqualTo(Outcome.NOT_RUN);
  }

  @ParameterizedTest
  @EnumSource(
      value = RefusalReason.class,
      names = {"QUEUE_FULL", "UPSTREAM_LEAVING", "WRONG_VERSION", "NO_UPSTREAM"})
  void offersToTheNextUpstreamAfterRefusedOffer(RefusalReason reason) {
    RouterHarness harness = RouterHarness.ready(4);
    RequestId request = harness.chat("hello");
    Sent<PeerMessage.Offer> first = harness.latestOffer(request);
    harness.reply(first, Optional.of(reason), Hint.NONE);
    Sent<PeerMessage.Offer> second = harness.latestOffer(request);

    assertThat(second.peer()).isNotEqualTo(first.peer());
    assertThat(harness.counter("offers.refused." + reason.code())).isEqualTo(1);
  }

  @Test
  void refusesImmediatelyAsNotRunWhenEveryQueueIsFull() {
    RouterHarness harness = RouterHarness.ready(3);
    RequestId request = harness.chat("hello");
    for (int offered = 0; offered < 3; offered++) {
      harness.reply(
          harness.latestOffer(request),
          Optional.of(RefusalReason.QUEUE_FULL),
          new Hint(0, 700_000, 1, 0));
    }
    Refusal refusal = harness.refusal(request).get();

    assertThat(refusal.reason()).isEqualTo(RefusalReason.QUEUE_FULL);
    assertThat(refusal.outcome()).isEqualTo(Outcome.NOT_RUN);
    assertThat(refusal.retryAtMicros()).hasValue(harness.now + 500_000);
  }

  @Test
  void probesAnotherUpstreamAfterAPoorHintAndSubmitsToTheBest() {
    RouterHarness harness = RouterHarness.ready(4);
    RequestId request = harness.chat("hello");
    Sent<PeerMessage.Offer> first = harness.latestOffer(request);
    harness.reply(first, Optional.empty(), new Hint(0, 5_000_000, 1, 0));
    Sent<PeerMessage.Offer> second = harness.latestOffer(request);
    harness.accept(second);

    assertThat(second.peer()).isNotEqualTo(first.peer());
    assertThat(harness.sent(PeerMessage.Submit.class, message -> true))
        .containsExactly(
            new Sent<>(
                second.peer(),
                harness.sent(PeerMessage.Submit.class, message -> true).get(0).message()));
    assertThat(harness.sent(PeerMessage.Cancel.class, message -> true))
        .containsExactly(
            new Sent<>(first.peer(), new PeerMessage.Cancel(first.message().attempt())));
  }

  @Test
  void unansweredOfferGoesToTheNextUpstreamAndStaysNotRun() {
    RouterHarness harness = RouterHarness.ready(2);
    RequestId request = harness.chat("hello");
    String first = harness.latestOffer(request).peer();
    harness.advance(100_000);

    assertThat(harness.latestOffer(request).peer()).isNotEqualTo(first);
    assertThat(harness.counter("offers.unanswered")).isEqualTo(1);
    assertThat(harness.core.explain(request).get().outcome()).isEqualTo(Outcome.NOT_RUN);
  }

  @Test
  void lateReplyToAnOfferIsStillUsed() {
    RouterHarness harness = RouterHarness.ready(1);
    RequestId request = harness.chat("hello");
    Sent<PeerMessage.Offer> offer = harness.latestOffer(request);
    harness.advance(300_000);
    AttemptId attempt = harness.accept(offer);
    harness.tokens(attempt, 0, "Maria's");
    harness.ended(attempt, 1);

    assertThat(harness.refusal(request)).isEmpty();
    assertThat(harness.isComplete(request)).isTrue();
  }

  @Test
  void enginesThatReplyLateAreStillOfferedWorkWhereThereAreNoOthers() {
    RouterHarness harness = RouterHarness.ready(1);
    for (int sent = 0; sent < 4; sent++) {
      harness.chat("hello " + sent);
    }
    harness.advance(200_000);
    RequestId request = harness.chat("hello");

    assertThat(harness.refusal(request)).isEmpty();
    assertThat(harness.offers(request)).isNotEmpty();
  }

  @ParameterizedTest
  @CsvSource({"true, UNKNOWN", "false, NOT_RUN"})
  void outcomeAfterLosingTheOnlyUpstreamShowsWhetherTheRequestMayHaveRun(
      boolean wasConnected, Outcome outcome) {
    RouterHarness harness = RouterHarness.ready(1);
    RequestId request = harness.chat("hello");
    AttemptId attempt = harness.acceptLatest(request);
    String peer = harness.upstreamOf(attempt);
    harness.send(
        wasConnected ? new RouterEvent.PeerLost(peer) : new RouterEvent.PeerUnreachable(peer));
    harness.advance(3_000_000);

    assertThat(harness.refusal(request).get().outcome()).isEqualTo(outcome);
    assertThat(harness.refusal(request).get().reason()).isEqualTo(RefusalReason.NO_UPSTREAM);
    assertThat(harness.core.explain(request).get().retries()).hasSize(1);
  }

  @Test
  void outcomeStaysUnknownWhateverLaterAttemptsReport() {
    RouterHarness harness = RouterHarness.ready(3);
    RequestId request = harness.chat("hello");
    AttemptId first = harness.acceptLatest(request);
    harness.failed(first, RefusalReason.ENGINE_LOST, Outcome.UNKNOWN, CrashRole.NONE);
    AttemptId second = harness.acceptLatest(request);
    harness.failed(second, RefusalReason.DEADLINE_PASSED, Outcome.NOT_RUN, CrashRole.NONE);

    assertThat(second).isNotEqualTo(first);
    assertThat(harness.refusal(request).get().outcome()).isEqualTo(Outcome.UNKNOWN);
  }

  @Test
  void resumesOnAnotherUpstreamFromTheDeliveredPosition() {
    RouterHarness harness = RouterHarness.ready(3);
    RequestId request = harness.chat("hello");
    AttemptId first = harness.acceptLatest(request);
    harness.tokens(first, 0, "one ");
    harness.tokens(first, 1, "two ");
    harness.send(new RouterEvent.PeerLost(harness.upstreamOf(first)));
    Sent<PeerMessage.Offer> offer = harness.latestOffer(request);
    AttemptId second = harness.accept(offer);
    harness.tokens(first, 2, "stale ");
    harness.tokens(second, 1, "two ");
    harness.tokens(second, 2, "three");
    harness.ended(second, 3);

    assertThat(offer.peer()).isNotEqualTo(harness.upstreamOf(first));
    assertThat(offer.message().resumePosition()).isEqualTo(2);
    assertThat(offer.message().identity().modelVersion()).isEqualTo(RouterHarness.VERSION);
    List<Sent<PeerMessage.Submit>> submits =
        harness.sent(PeerMessage.Submit.class, message -> true);
    assertThat(submits.get(1).message().deliveredText()).isEqualTo("one two ");
    assertThat(harness.answer(request)).isEqualTo("one two three");
    assertThat(harness.counter("frames.older-attempt")).isEqualTo(1);
    assertThat(harness.counter("frames.duplicate")).isEqualTo(1);
    assertThat(harness.isComplete(request)).isTrue();
  }

  @Test
  void endsWithExplicitErrorWhenNoUpstreamOfTheVersionCanResume() {
    RouterHarness harness = RouterHarness.ready(1);
    RequestId request = harness.chat("hello");
    AttemptId first = harness.acceptLatest(request);
    harness.tokens(first, 0, "one ");
    harness.status("engine-1", true, RouterHarness.VERSION);
    harness.send(new RouterEvent.PeerLost("engine-1"));
    harness.advance(3_000_000);

    assertThat(harness.refusal(request).get().reason())
        .isEqualTo(RefusalReason.STREAM_CANNOT_RESUME);
    assertThat(harness.refusal(request).get().outcome()).isEqualTo(Outcome.UNKNOWN);
  }

  @ParameterizedTest
  @CsvSource({"1500000, true", "9000000, true", "11000000, false"})
  void startedStreamWaitsForItsEnginesWhenEveryConnectionIsLostAtOnce(
      long outageMicros, boolean resumes) {
    RouterHarness harness = RouterHarness.ready(2);
    RequestId request = harness.chat("hello");
    AttemptId first = harness.acceptLatest(request);
    harness.advance(1_900_000);
    harness.tokens(first, 0, "one ");
    harness.advance(1_900_000);
    harness.tokens(first, 1, "two ");
    harness.send(new RouterEvent.PeerLost("engine-1"));
    harness.send(new RouterEvent.PeerLost("engine-2"));
    harness.advance(outageMicros);

    assertThat(harness.refusal(request).isEmpty()).isEqualTo(resumes);
    if (resumes) {
      harness.status("engine-1", false, RouterHarness.VERSION);
      harness.advance(100_000);
      AttemptId second = harness.acceptLatest(request);
      harness.tokens(second, 2, "three");
      harness.ended(second, 3);
      assertThat(harness.answer(request)).isEqualTo("one two three");
      assertThat(harness.isComplete(request)).isTrue();
    } else {
      assertThat(harness.refusal(request).get().reason())
          .isEqualTo(RefusalReason.STREAM_CANNOT_RESUME);
    }
  }

  @Test
  void unreachableServiceDoesNotDelayARefusal() {
    RouterHarness harness = RouterHarness.ready(1);
    harness.status("engine-1", false);
    harness.send(new RouterEvent.PeerLost("booking-1"));
    RequestId request = harness.chat("hello");

    assertThat(harness.refusal(request).get().reason()).isEqualTo(RefusalReason.WRONG_VERSION);
  }

  @ParameterizedTest
  @CsvSource({"5, true", "1, true", "2, false"})
  void engineEndCompletesTheStreamOnlyIfAllItsTokensWereDelivered(
      int endPosition, boolean resumes) {
    RouterHarness harness = RouterHarness.ready(3);
    RequestId request = harness.chat("hello");
    AttemptId first = harness.acceptLatest(request);
    harness.tokens(first, 0, "one ");
    harness.tokens(first, 1, "two ");
    harness.ended(first, endPosition);

    assertThat(harness.isComplete(request)).isEqualTo(!resumes);
    assertThat(harness.counter("retries.stream-gap")).isEqualTo(resumes ? 1 : 0);
  }

  @Test
  void callerGoneCancelsTheAttempt() {
    RouterHarness harness = RouterHarness.ready(2);
    RequestId request = harness.chat("hello");
    AttemptId attempt = harness.acceptLatest(request);
    harness.send(new RouterEvent.CallerGone(request));

    assertThat(harness.sent(PeerMessage.Cancel.class, message -> message.attempt().equals(attempt)))
        .hasSize(1);
    assertThat(harness.refusal(request)).isEmpty();
    assertThat(harness.core.status().openRequests()).isEqualTo(0);
  }

  @ParameterizedTest
  @CsvSource({"false, NOT_RUN", "true, UNKNOWN"})
  void deadlineEndsTheRequestWithTheCorrectOutcome(boolean isSubmitted, Outcome outcome) {
    RouterHarness harness =
        RouterHarness.ready(1, RouterOptions.builder().firstTokenWaitMicros(50_000));
    RequestId request = harness.chat("hello");
    if (isSubmitted) {
      harness.acceptLatest(request);
    }
    harness.advance(400_000);

    assertThat(harness.refusal(request).get().reason()).isEqualTo(RefusalReason.DEADLINE_PASSED);
    assertThat(harness.refusal(request).get().outcome()).isEqualTo(outcome);
  }

  @Test
  void reportsConsumedTokensToTheSidecar() {
    RouterHarness harness = RouterHarness.ready(2);
    RequestId request = harness.chat("hello");
    AttemptId attempt = harness.acceptLatest(request);
    harness.tokens(attempt, 0, "one");
    harness.send(new RouterEvent.CallerConsumed(request, 1));
    harness.advance(200_000);

    assertThat(harness.sent(PeerMessage.Consumed.class, message -> true))
        .containsExactly(
            new Sent<>(harness.upstreamOf(attempt), new PeerMessage.Consumed(attempt, 1)));
  }

  @Test
  void retryBudgetEndsRetriesWithoutSuccesses() {
    RouterHarness harness =
        RouterHarness.ready(3, RouterOptions.builder().retryMinimum(1).retryShare(0.0));
    RequestId first = harness.chat("first");
    RequestId second = harness.chat("second");
    AttemptId firstAttempt = harness.acceptLatest(first);
    AttemptId secondAttempt = harness.acceptLatest(second);
    harness.failed(firstAttempt, RefusalReason.ENGINE_LOST, Outcome.UNKNOWN, CrashRole.NONE);
    harness.failed(secondAttempt, RefusalReason.ENGINE_LOST, Outcome.UNKNOWN, CrashRole.NONE);

    assertThat(harness.refusal(first)).isEmpty();
    assertThat(harness.refusal(second).get().reason()).isEqualTo(RefusalReason.RETRY_BUDGET_EMPTY);
    assertThat(harness.refusal(second).get().retryAtMicros()).isPresent();
  }

  @ParameterizedTest
  @CsvSource({"false, false", "false, true", "true, false", "true, true"})
  void attemptAtASilentUpstreamIsRetriedUnlessOtherMessagesArrive(
      boolean hasStarted, boolean sendsMessages) {
    RouterHarness harness = RouterHarness.ready(3);
    RequestId request = harness.chat("hello");
    AttemptId first = harness.acceptLatest(request);
    if (hasStarted) {
      harness.tokens(first, 0, "one ");
      harness.send(new RouterEvent.CallerConsumed(request, 1));
    }
    for (int second = 0; second < 3; second++) {
      harness.advance(1_000_000);
      if (sendsMessages) {
        harness.status(harness.upstreamOf(first), false, RouterHarness.VERSION);
      }
    }

    assertThat(harness.counter("retries.stream-stalled")).isEqualTo(sendsMessages ? 0 : 1);
    List<String> offered = harness.offers(request).stream().map(Sent::peer).toList();
    assertThat(offered.get(0)).isEqualTo(harness.upstreamOf(first));
    assertThat(offered.size() == 1).isEqualTo(sendsMessages);
    if (!sendsMessages) {
      assertThat(offered.get(1)).isNotEqualTo(offered.get(0));
    }
  }
}
