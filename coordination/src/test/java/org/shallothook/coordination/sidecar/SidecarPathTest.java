package org.shallothook.coordination.sidecar;

import static com.google.common.truth.Truth.assertThat;
import static org.shallothook.coordination.sidecar.SidecarHarness.attempt;
import static org.shallothook.coordination.sidecar.SidecarHarness.offer;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.shallothook.coordination.message.PeerMessage;
import org.shallothook.state.cache.ModelVersion;
import org.shallothook.state.membership.InstanceRole;
import org.shallothook.state.request.AttemptId;
import org.shallothook.state.request.Outcome;
import org.shallothook.state.request.RefusalReason;

/** Tests the path of requests through a sidecar, from offer to end. */
final class SidecarPathTest {
  private static final AttemptId ONE = attempt("one");

  private final SidecarHarness sidecar = SidecarHarness.ready(2);

  @Test
  void relaysAnswerFromOfferToEnd() {
    sidecar.send(offer("one"));
    sidecar.tokens(ONE, 0, 2);
    sidecar.tokens(ONE, 2, 1);
    sidecar.end(ONE, 3);

    assertThat(sidecar.started()).containsExactly(ONE);
    assertThat(sidecar.sent(PeerMessage.Tokens.class))
        .containsExactly(
            new PeerMessage.Tokens(ONE, 0, 2, "tt"), new PeerMessage.Tokens(ONE, 2, 1, "t"))
        .inOrder();
    assertThat(sidecar.sent(PeerMessage.Ended.class))
        .containsExactly(new PeerMessage.Ended(ONE, 3, "stop", 0));
    assertThat(sidecar.core.load()).isEqualTo(new SidecarLoad(0, 0, 0));
  }

  @Test
  void resumesFromDeliveredPosition() {
    sidecar.send(offer("one").resume(5));
    sidecar.tokens(ONE, 4, 1);
    sidecar.tokens(ONE, 5, 1);

    SidecarCommand.StartAnswer start = sidecar.commands(SidecarCommand.StartAnswer.class).get(0);
    assertThat(start.resumePosition()).isEqualTo(5);
    assertThat(start.deliveredText()).isEqualTo("xxxxx");
    assertThat(sidecar.sent(PeerMessage.Tokens.class))
        .containsExactly(new PeerMessage.Tokens(ONE, 5, 1, "t"));
  }

  @Test
  void gapInTokensFailsAttempt() {
    sidecar.send(offer("one"));
    sidecar.tokens(ONE, 1, 1);

    assertThat(sidecar.failure(ONE).reason()).isEqualTo(RefusalReason.ENGINE_LOST);
    assertThat(sidecar.failure(ONE).outcome()).isEqualTo(Outcome.UNKNOWN);
    assertThat(sidecar.commands(SidecarCommand.CancelAnswer.class)).hasSize(1);
  }

  @Test
  void endWithMissingTokensFailsAttempt() {
    sidecar.send(offer("one"));
    sidecar.tokens(ONE, 0, 2);
    sidecar.end(ONE, 3);

    assertThat(sidecar.sent(PeerMessage.Ended.class)).isEmpty();
    assertThat(sidecar.failure(ONE).reason()).isEqualTo(RefusalReason.ENGINE_LOST);
  }

  @Test
  void slowCallerPausesEngineUntilItHasRead() {
    sidecar.send(offer("one"));
    sidecar.tokens(ONE, 0, 512);
    sidecar.receive(new PeerMessage.Consumed(ONE, 200));
    assertThat(sidecar.commands(SidecarCommand.PauseAnswer.class))
        .containsExactly(new SidecarCommand.PauseAnswer(ONE, true));

    sidecar.receive(new PeerMessage.Consumed(ONE, 256));
    assertThat(sidecar.commands(SidecarCommand.PauseAnswer.class))
        .contains(new SidecarCommand.PauseAnswer(ONE, false));
  }

  /** Ways in which a router abandons its attempts. */
  private enum Abandonment {
    CANCEL {
      @Override
      void apply(SidecarHarness sidecar) {
        sidecar.receive(new PeerMessage.Cancel(ONE));
      }
    },
    CONNECTION_LOST {
      @Override
      void apply(SidecarHarness sidecar) {
        sidecar.handle(new SidecarEvent.PeerLost(SidecarHarness.ROUTER));
      }
    },
    ROUTER_RESTARTED {
      @Override
      void apply(SidecarHarness sidecar) {
        sidecar.receive(SidecarHarness.ROUTER, 2, new PeerMessage.Hello(InstanceRole.ROUTER, "a"));
      }
    };

    abstract void apply(SidecarHarness sidecar);
  }

  @ParameterizedTest
  @EnumSource(Abandonment.class)
  void abandonedAttemptIsCancelledAtEveryStep(Abandonment abandonment) {
    for (int step = 0; step < 4; step++) {
      SidecarHarness fresh = SidecarHarness.ready(1);
      if (step == 1) {
        fresh.send(offer("other"));
      }
      if (step == 0) {
        fresh.receive(offer("one").build());
      } else {
        fresh.send(offer("one"));
      }
      if (step == 3) {
        fresh.tokens(ONE, 0, 1);
      }
      abandonment.apply(fresh);
      fresh.tokens(ONE, 1, 1);

      boolean hasRun = step >= 2;
      assertThat(fresh.commands(SidecarCommand.CancelAnswer.class))
          .containsAtLeastElementsIn(
              hasRun ? List.of(new SidecarCommand.CancelAnswer(ONE)) : List.of());
      assertThat(fresh.core.explain(ONE.request()).get(0).end()).isNotEmpty();
      assertThat(fresh.sent(PeerMessage.Tokens.class)).hasSize(step == 3 ? 1 : 0);
    }
  }

  @Test
  void messagesOfEarlierIncarnationAreDropped() {
    sidecar.receive(SidecarHarness.ROUTER, 2, new PeerMessage.Hello(InstanceRole.ROUTER, "a"));
    sidecar.receive(SidecarHarness.ROUTER, 1, offer("one").build());

    assertThat(sidecar.sent(PeerMessage.OfferReply.class)).isEmpty();
    assertThat(sidecar.counters).containsEntry("messages.outdated-incarnation", 1);
  }

  /** Signals that make an upstream leave. */
  private enum Leaving {
    DRAIN {
      @Override
      void apply(SidecarHarness sidecar) {
        sidecar.handle(new SidecarEvent.DrainRequested());
      }
    },
    LIST {
      @Override
      void apply(SidecarHarness sidecar) {
        sidecar.instances(2, true, false);
      }
    },
    ENGINE {
      @Override
      void apply(SidecarHarness sidecar) {
        sidecar.status("e-1", List.of(SidecarHarness.VERSION), true);
      }
    };

    abstract void apply(SidecarHarness sidecar);
  }

  @ParameterizedTest
  @EnumSource(Leaving.class)
  void leavingUpstreamReturnsWaitingAttemptsAndFinishesRunningOnes(Leaving leaving) {
    SidecarHarness single = SidecarHarness.ready(1);
    single.send(offer("one"));
    single.send(offer("two"));
    single.receive(offer("three").build());
    leaving.apply(single);

    assertThat(single.sent(PeerMessage.SidecarStatus.class)).hasSize(1);
    assertThat(single.sent(PeerMessage.SidecarStatus.class).get(0).isLeaving()).isTrue();
    for (String request : List.of("two", "three")) {
      assertThat(single.failure(attempt(request)).reason())
          .isEqualTo(RefusalReason.UPSTREAM_LEAVING);
      assertThat(single.failure(attempt(request)).outcome()).isEqualTo(Outcome.NOT_RUN);
    }
    assertThat(single.send(offer("four"))).isEqualTo(Optional.of(RefusalReason.UPSTREAM_LEAVING));
    single.tokens(ONE, 0, 1);
    single.end(ONE, 1);
    assertThat(single.sent(PeerMessage.Ended.class)).hasSize(1);
    assertThat(single.commands(SidecarCommand.Drained.class))
        .hasSize(leaving == Leaving.DRAIN ? 1 : 0);
  }

  @Test
  void laggingListDoesNotReadmitDrainingUpstream() {
    sidecar.handle(new SidecarEvent.DrainRequested());
    sidecar.instances(3, false, false);

    assertThat(sidecar.core.status().isLeaving()).isTrue();
  }

  @Test
  void newlyConnectedRouterReceivesStatus() {
    sidecar.receive("router-2", 1, new PeerMessage.Hello(InstanceRole.ROUTER, "b"));

    assertThat(sidecar.sent(PeerMessage.SidecarStatus.class).get(0).ready())
        .containsExactly(SidecarHarness.VERSION);
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void failedCallReportsWhetherItMayHaveRun(boolean hasReached) {
    SidecarHarness service =
        new SidecarHarness(SidecarHarness.options().role(InstanceRole.SERVICE).service("bookings"));
    service.receive(call(true));
    service.handle(new SidecarEvent.ServiceFailed(ONE, hasReached));

    assertThat(service.commands(SidecarCommand.CallService.class)).hasSize(1);
    assertThat(service.failure(ONE).outcome())
        .isEqualTo(hasReached ? Outcome.UNKNOWN : Outcome.NOT_RUN);
  }

  @Test
  void unrepeatableCallIsNotDispatchedWithoutClaim() {
    SidecarHarness service =
        new SidecarHarness(SidecarHarness.options().role(InstanceRole.SERVICE).service("bookings"));
    service.receive(call(false));

    assertThat(service.commands(SidecarCommand.CallService.class)).isEmpty();
    assertThat(service.failure(ONE).outcome()).isEqualTo(Outcome.NOT_RUN);
  }

  @Test
  void offerOfVersionThatIsNotLoadedIsRefused() {
    assertThat(sidecar.send(offer("one").version(ModelVersion.of("linen", "v2"))))
        .isEqualTo(Optional.of(RefusalReason.WRONG_VERSION));
  }

  @Test
  void submitWithoutReservationIsNotRun() {
    sidecar.receive(new PeerMessage.Submit(ONE, "prompt", ""));

    assertThat(sidecar.failure(ONE).outcome()).isEqualTo(Outcome.NOT_RUN);
  }

  @Test
  void repeatedSubmitOfEndedAttemptIsNotReportedAsNotRun() {
    sidecar.send(offer("one"));
    sidecar.end(ONE, 0);
    sidecar.receive(new PeerMessage.Submit(ONE, "prompt", ""));

    assertThat(sidecar.failure(ONE).outcome()).isEqualTo(Outcome.UNKNOWN);
    assertThat(sidecar.started()).hasSize(1);
  }

  private static PeerMessage.Call call(boolean isRepeatable) {
    return new PeerMessage.Call(
        ONE,
        "guild",
        "bookings",
        "list",
        Optional.empty(),
        "application/json",
        "{}",
        isRepeatable,
        false,
        SidecarHarness.START_MICROS + 1_000_000);
  }
}
