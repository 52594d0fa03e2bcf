package org.shallothook.coordination.admission;

import static com.google.common.truth.Truth.assertThat;
import static org.shallothook.coordination.sidecar.SidecarHarness.attempt;
import static org.shallothook.coordination.sidecar.SidecarHarness.offer;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.shallothook.coordination.message.CrashRole;
import org.shallothook.coordination.message.PeerMessage;
import org.shallothook.coordination.sidecar.SidecarCommand;
import org.shallothook.coordination.sidecar.SidecarEvent;
import org.shallothook.coordination.sidecar.SidecarHarness;
import org.shallothook.coordination.sidecar.SidecarLoad;
import org.shallothook.state.request.AttemptId;
import org.shallothook.state.request.Outcome;
import org.shallothook.state.request.RefusalReason;

final class AdmissionTest {
  private static final AttemptId ONE = attempt("one");
  private static final AttemptId TWO = attempt("two");

  @Test
  void engineGetsOnlyWhatItCanBatch() {
    SidecarHarness sidecar = SidecarHarness.ready(2);
    for (String request : List.of("one", "two", "three")) {
      sidecar.send(offer(request));
    }
    assertThat(sidecar.started()).containsExactly(ONE, TWO);

    sidecar.end(ONE, 0);
    assertThat(sidecar.started()).containsExactly(ONE, TWO, attempt("three")).inOrder();
  }

  @Test
  void concurrentOrdinaryPrefillsAreLimitedButPriorityWorkStarts() {
    SidecarHarness sidecar = SidecarHarness.ready(8, SidecarHarness.options().maximumPrefills(1));
    sidecar.send(offer("one"));
    sidecar.send(offer("two"));
    sidecar.send(offer("urgent").priority());
    assertThat(sidecar.started()).containsExactly(ONE, attempt("urgent"));

    sidecar.tokens(attempt("urgent"), 0, 1);
    assertThat(sidecar.started()).hasSize(2);
    sidecar.tokens(ONE, 0, 1);
    assertThat(sidecar.started()).contains(TWO);
  }

  @ParameterizedTest
  @CsvSource({"8, 0", "20, 1"})
  void longOrdinaryPrefillIsPreemptedByPriorityWork(int blocks, int preemptions) {
    SidecarHarness sidecar = SidecarHarness.ready(8);
    sidecar.send(offer("one").keys(SidecarHarness.keys("register", blocks)));
    sidecar.send(offer("urgent").priority());

    assertThat(sidecar.commands(SidecarCommand.CancelAnswer.class)).hasSize(preemptions);
    assertThat(sidecar.started()).contains(attempt("urgent"));
    sidecar.end(attempt("urgent"), 0);
    assertThat(sidecar.core.load()).isEqualTo(new SidecarLoad(1, 0, 0));
  }

  @Test
  void waitingPriorityWorkGoesAheadOfOrdinaryWork() {
    SidecarHarness sidecar =
        SidecarHarness.ready(1, SidecarHarness.options().maximumPreemptions(1));
    sidecar.send(offer("priority").priority());
    sidecar.send(offer("one"));
    sidecar.send(offer("late").priority());
    sidecar.end(attempt("priority"), 0);

    assertThat(sidecar.started()).containsExactly(attempt("priority"), attempt("late")).inOrder();
  }

  @Test
  void idleTeamIsServedAheadOfBackloggedTeam() {
    SidecarHarness sidecar = SidecarHarness.ready(1);
    for (int request = 0; request < 10; request++) {
      sidecar.send(offer("large-" + request).team("large"));
    }
    sidecar.end(attempt("large-0"), 0);
    sidecar.send(offer("rare").team("rare"));
    sidecar.end(attempt("large-1"), 0);

    assertThat(sidecar.started()).contains(attempt("rare"));
  }

  @Test
  void priorityWorkPreemptsYoungestStreamOfFullBatchWhichResumes() {
    SidecarHarness sidecar = SidecarHarness.ready(2);
    sidecar.send(offer("one"));
    sidecar.nowMicros += 1_000;
    sidecar.send(offer("two"));
    sidecar.tokens(ONE, 0, 1);
    sidecar.tokens(TWO, 0, 3);
    sidecar.send(offer("urgent").priority());

    assertThat(sidecar.commands(SidecarCommand.CancelAnswer.class))
        .containsExactly(new SidecarCommand.CancelAnswer(TWO));
    assertThat(sidecar.started()).containsExactly(ONE, TWO, attempt("urgent")).inOrder();

    sidecar.end(attempt("urgent"), 0);
    SidecarCommand.StartAnswer resumed = sidecar.commands(SidecarCommand.StartAnswer.class).get(3);
    assertThat(resumed.resumePosition()).isEqualTo(3);
    assertThat(resumed.deliveredText()).isEqualTo("ttt");

    sidecar.tokens(TWO, 3, 1);
    sidecar.tokens(resumed.attempt(), 3, 1);
    sidecar.end(resumed.attempt(), 4);
    assertThat(sidecar.sent(PeerMessage.Tokens.class))
        .containsExactly(
            new PeerMessage.Tokens(ONE, 0, 1, "t"),
            new PeerMessage.Tokens(TWO, 0, 3, "ttt"),
            new PeerMessage.Tokens(TWO, 3, 1, "t"))
        .inOrder();
    assertThat(sidecar.sent(PeerMessage.Ended.class))
        .contains(new PeerMessage.Ended(TWO, 4, "stop", 0));
    assertThat(sidecar.counters).containsEntry("streams.late-frames", 1);
  }

  @ParameterizedTest
  @ValueSource(ints = {2, 4, 16})
  void priorityOverloadLeavesSlotsToOrdinaryWork(int slots) {
    SidecarHarness sidecar = SidecarHarness.ready(slots);
    for (int request = 0; request < slots; request++) {
      sidecar.send(offer("ordinary-" + request));
    }
    for (int request = 0; request < 3 * slots; request++) {
      sidecar.send(offer("urgent-" + request).priority());
    }
    int floor = (int) Math.ceil(slots * 0.125);
    assertThat(sidecar.commands(SidecarCommand.CancelAnswer.class)).hasSize(slots - floor);

    sidecar.end(attempt("ordinary-0"), 0);
    assertThat(sidecar.started().get(sidecar.started().size() - 1).request().value())
        .startsWith("ordinary-");
  }

  @Test
  void streamIsPreemptedBoundedNumberOfTimes() {
    SidecarHarness sidecar =
        SidecarHarness.ready(1, SidecarHarness.options().maximumPreemptions(2));
    sidecar.send(offer("one"));
    for (int request = 0; request < 4; request++) {
      sidecar.send(offer("urgent-" + request).priority());
      sidecar.end(attempt("urgent-" + request), 0);
    }
    assertThat(sidecar.counters).containsEntry("preemptions.priority", 2);
  }

  @ParameterizedTest
  @CsvSource({"0, DEADLINE_PASSED", "30000, DEADLINE_UNREACHABLE", "300000, "})
  void offerIsRefusedWhenItsDeadlineCannotBeMet(long micros, RefusalReason reason) {
    SidecarHarness sidecar = SidecarHarness.ready(1);
    sidecar.send(offer("one"));

    Optional<RefusalReason> refusal =
        sidecar.send(offer("two").deadline(sidecar.nowMicros + micros));

    assertThat(refusal).isEqualTo(Optional.ofNullable(reason));
    if (reason == RefusalReason.DEADLINE_UNREACHABLE) {
      assertThat(sidecar.reply(TWO).validUntilMicros()).isGreaterThan(sidecar.nowMicros);
    }
  }

  @Test
  void idleEngineAcceptsOfferWhoseEstimateMissesDeadline() {
    SidecarHarness sidecar =
        SidecarHarness.ready(1, SidecarHarness.options().prefillMicrosPerBlock(9_000_000));

    assertThat(sidecar.send(offer("one").deadline(sidecar.nowMicros + 1_000))).isEmpty();
    assertThat(sidecar.started()).containsExactly(ONE);
  }

  @Test
  void requestWhoseDeadlinePassesInQueueIsReportedNotRun() {
    SidecarHarness sidecar = SidecarHarness.ready(1);
    sidecar.send(offer("one"));
    sidecar.send(offer("two").deadline(sidecar.nowMicros + 300_000));
    sidecar.pass(300_000);

    assertThat(sidecar.failure(TWO).reason()).isEqualTo(RefusalReason.DEADLINE_PASSED);
    assertThat(sidecar.failure(TWO).outcome()).isEqualTo(Outcome.NOT_RUN);
    sidecar.end(ONE, 0);
    assertThat(sidecar.started()).containsExactly(ONE);
  }

  @Test
  void fullQueueRefusesTeamWithMostAttemptsAndAcceptsOthers() {
    SidecarHarness sidecar =
        SidecarHarness.ready(1, SidecarHarness.options().maximumQueueLength(4));
    for (int request = 0; request < 5; request++) {
      assertThat(sidecar.send(offer("large-" + request).team("large"))).isEmpty();
    }
    assertThat(sidecar.send(offer("large-5").team("large")))
        .isEqualTo(Optional.of(RefusalReason.QUEUE_FULL));
    assertThat(sidecar.reply(attempt("large-5")).validUntilMicros())
        .isGreaterThan(sidecar.nowMicros);

    assertThat(sidecar.send(offer("rare").team("rare"))).isEmpty();
    assertThat(sidecar.failure(attempt("large-4")).reason()).isEqualTo(RefusalReason.QUEUE_FULL);
    assertThat(sidecar.failure(attempt("large-4")).outcome()).isEqualTo(Outcome.NOT_RUN);
    assertThat(sidecar.send(offer("urgent").priority())).isEmpty();
  }

  @Test
  void reservationEndsAtItsDeadline() {
    SidecarHarness sidecar = SidecarHarness.ready(1);
    sidecar.receive(offer("one").build());
    sidecar.pass(500_000);
    sidecar.receive(new PeerMessage.Submit(ONE, "prompt", ""));

    assertThat(sidecar.started()).isEmpty();
    assertThat(sidecar.failure(ONE).outcome()).isEqualTo(Outcome.NOT_RUN);
    assertThat(sidecar.core.load().waiting()).isEqualTo(0);
  }

  @ParameterizedTest
  @CsvSource({"1, true, ALONE", "2, false, PREFILLING", "2, true, STREAMING"})
  void engineCrashReportsRoleOfEachAttempt(int batch, boolean hasToken, CrashRole role) {
    SidecarHarness sidecar = SidecarHarness.ready(2);
    sidecar.send(offer("one"));
    if (batch == 2) {
      sidecar.send(offer("two"));
    }
    if (hasToken) {
      sidecar.tokens(ONE, 0, 1);
    }
    if (batch == 2) {
      sidecar.fail(TWO, true);
    }
    sidecar.fail(ONE, true);
    assertThat(sidecar.sent(PeerMessage.Failed.class)).isEmpty();
    sidecar.handle(new SidecarEvent.EngineUnreachable());

    assertThat(sidecar.failure(ONE).reason()).isEqualTo(RefusalReason.ENGINE_LOST);
    assertThat(sidecar.failure(ONE).outcome()).isEqualTo(Outcome.UNKNOWN);
    assertThat(sidecar.failure(ONE).crashRole()).isEqualTo(role);
  }

  /** Signals that an engine was lost, with or without a broken stream before. */
  private enum Loss {
    UNREACHABLE {
      @Override
      void apply(SidecarHarness sidecar) {
        sidecar.handle(new SidecarEvent.EngineUnreachable());
        sidecar.handle(new SidecarEvent.EngineUnreachable());
        sidecar.pass(2_000_000);
      }
    },
    NEW_INCARNATION {
      @Override
      void apply(SidecarHarness sidecar) {
        sidecar.status("e-2");
      }
    },
    SILENT {
      @Override
      void apply(SidecarHarness sidecar) {
        sidecar.fail(ONE, true);
        sidecar.pass(300_000);
      }
    };

    abstract void apply(SidecarHarness sidecar);
  }

  @ParameterizedTest
  @EnumSource(Loss.class)
  void lostEngineEndsItsStreamsAndStartedWorkIsNeverReportedNotRun(Loss loss) {
    SidecarHarness sidecar = SidecarHarness.ready(1);
    sidecar.send(offer("one"));
    sidecar.send(offer("two"));
    loss.apply(sidecar);

    assertThat(sidecar.failure(ONE).crashRole()).isEqualTo(CrashRole.ALONE);
    assertThat(sidecar.failure(ONE).outcome()).isEqualTo(Outcome.UNKNOWN);
    boolean hasStarted = sidecar.started().contains(TWO);
    boolean isHandedBack =
        sidecar.sent(PeerMessage.Failed.class).stream()
            .anyMatch(
                failed -> failed.attempt().equals(TWO) && failed.outcome() == Outcome.NOT_RUN);
    assertThat(hasStarted && isHandedBack).isFalse();
    assertThat(hasStarted).isEqualTo(loss == Loss.NEW_INCARNATION);
  }

  @Test
  void brokenStreamOfReachableEngineMakesNoSuspect() {
    SidecarHarness sidecar = SidecarHarness.ready(1);
    sidecar.send(offer("one"));
    sidecar.fail(ONE, true);
    sidecar.status("e-1");

    assertThat(sidecar.failure(ONE).crashRole()).isEqualTo(CrashRole.NONE);
    assertThat(sidecar.failure(ONE).outcome()).isEqualTo(Outcome.UNKNOWN);
  }

  @Test
  void runRefusedByEngineIsRetriedAndThenReportedNotRun() {
    SidecarHarness sidecar = SidecarHarness.ready(1);
    sidecar.send(offer("one"));
    for (int refusal = 0; refusal < 3; refusal++) {
      sidecar.fail(sidecar.started().get(refusal), false);
      sidecar.status("e-1");
    }
    assertThat(sidecar.started()).hasSize(3);
    assertThat(sidecar.failure(ONE).outcome()).isEqualTo(Outcome.NOT_RUN);
  }

  @Test
  void suspectRunsAlone() {
    SidecarHarness sidecar = SidecarHarness.ready(2);
    sidecar.send(offer("one"));
    sidecar.send(offer("suspect").suspect());
    sidecar.send(offer("two"));
    assertThat(sidecar.started()).containsExactly(ONE);

    sidecar.end(ONE, 0);
    assertThat(sidecar.started()).containsExactly(ONE, attempt("suspect"));
    sidecar.end(attempt("suspect"), 0);
    assertThat(sidecar.started()).containsExactly(ONE, attempt("suspect"), TWO);
  }

  @Test
  void suspectWaitsBoundedTimeForEmptyEngine() {
    SidecarHarness sidecar = SidecarHarness.ready(2);
    sidecar.send(offer("one"));
    sidecar.tokens(ONE, 0, 2);
    sidecar.send(offer("suspect").suspect());
    sidecar.pass(1_000_000);

    assertThat(sidecar.started()).containsExactly(ONE, attempt("suspect")).inOrder();
    sidecar.end(attempt("suspect"), 0);
    assertThat(sidecar.commands(SidecarCommand.StartAnswer.class).get(2).resumePosition())
        .isEqualTo(2);
  }

  @Test
  void suspectIsPreemptedByPriorityWorkAndRunsAfterIt() {
    SidecarHarness sidecar = SidecarHarness.ready(2);
    sidecar.send(offer("suspect").suspect());
    sidecar.send(offer("urgent").priority());
    assertThat(sidecar.started()).containsExactly(attempt("suspect"), attempt("urgent")).inOrder();

    sidecar.send(offer("two"));
    assertThat(sidecar.started()).hasSize(2);
    sidecar.end(attempt("urgent"), 0);
    assertThat(sidecar.started()).hasSize(3);
    assertThat(sidecar.started().get(2).request()).isEqualTo(attempt("suspect").request());
  }

  @Test
  void consecutiveSuspectsAreLimited() {
    SidecarHarness sidecar = SidecarHarness.ready(2);
    sidecar.send(offer("suspect-0").suspect());
    for (int request = 1; request < 6; request++) {
      sidecar.send(offer("ordinary-" + request).team("other"));
      sidecar.send(offer("suspect-" + request).suspect());
    }
    for (int ended = 0; ended < 4; ended++) {
      assertThat(sidecar.started()).hasSize(ended + 1);
      sidecar.end(sidecar.started().get(ended), 0);
    }
    assertThat(sidecar.started().get(4).request().value()).startsWith("ordinary-");
  }

  @Test
  void quarantinedRequestIsRefusedUntilDeadline() {
    SidecarHarness sidecar = SidecarHarness.ready(1);
    sidecar.receive(new PeerMessage.Quarantine("bad", sidecar.nowMicros + 100_000));

    assertThat(sidecar.send(offer("one").fingerprint("bad")))
        .isEqualTo(Optional.of(RefusalReason.QUARANTINED));
    sidecar.pass(100_000);
    assertThat(sidecar.send(offer("two").fingerprint("bad"))).isEmpty();
  }

  @Test
  void unloadedVersionFailsAttemptsQueuedForIt() {
    SidecarHarness sidecar = SidecarHarness.ready(1);
    sidecar.send(offer("one"));
    sidecar.send(offer("two"));
    sidecar.status("e-1", List.of(), false);

    assertThat(sidecar.failure(TWO).reason()).isEqualTo(RefusalReason.WRONG_VERSION);
    assertThat(sidecar.failure(TWO).outcome()).isEqualTo(Outcome.NOT_RUN);
  }
}
