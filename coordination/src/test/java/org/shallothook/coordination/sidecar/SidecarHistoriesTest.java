package org.shallothook.coordination.sidecar;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.shallothook.coordination.message.PeerMessage;
import org.shallothook.state.membership.InstanceRole;
import org.shallothook.state.request.AttemptId;
import org.shallothook.state.request.Outcome;
import org.shallothook.state.request.RequestId;

/**
 * Checks invariants of streams and outcomes over random sequences of offers, engine responses and
 * faults.
 */
final class SidecarHistoriesTest {
  private static final int SLOTS = 3;

  /** Steps of a random history. */
  private enum Step {
    OFFER_ORDINARY,
    OFFER_PRIORITY,
    OFFER_SUSPECT,
    OFFER_WITHOUT_SUBMIT,
    TOKEN,
    END,
    LATE_TOKEN,
    BREAK_STREAM,
    REFUSE_RUN,
    CANCEL,
    RESTART_ENGINE,
    LOSE_ENGINE,
    RESTART_ROUTER,
    SHORT_TIME,
    LONG_TIME,
    LIST_REPORTS_LEAVING,
    LIST_REPORTS_NOT_LEAVING
  }

  /** Drives a sidecar and simulates its engine. */
  private static final class History {
    private final SidecarHarness sidecar =
        SidecarHarness.ready(SLOTS, SidecarHarness.options().maximumPrefills(2));
    private final Map<AttemptId, Integer> running = new LinkedHashMap<>();
    private final Set<AttemptId> refusedRuns = new HashSet<>();
    private final Set<AttemptId> abandoned = new HashSet<>();
    private final Set<AttemptId> submitted = new HashSet<>();
    private AttemptId latest = SidecarHarness.attempt("none");
    private AttemptId lastRun = latest;
    private int processedCommands;
    private int requests;
    private int engineIncarnation = 1;
    private int listVersion = 1;
    private long routerIncarnation = 1;

    void apply(Step step) {
      switch (step) {
        case OFFER_ORDINARY -> offer(next(), true);
        case OFFER_PRIORITY -> offer(next().priority(), true);
        case OFFER_SUSPECT -> offer(next().suspect(), true);
        case OFFER_WITHOUT_SUBMIT -> offer(next(), false);
        case TOKEN -> running.keySet().stream().findFirst().ifPresent(this::token);
        case END -> running.keySet().stream().findFirst().ifPresent(this::end);
        case LATE_TOKEN -> sidecar.tokens(lastRun, 0, 1);
        case BREAK_STREAM -> running.keySet().stream().findFirst().ifPresent(this::breakStream);
        case REFUSE_RUN -> running.keySet().stream().findFirst().ifPresent(this::refuseRun);
        case CANCEL -> cancel();
        case RESTART_ENGINE -> sidecar.status("e-" + ++engineIncarnation);
        case LOSE_ENGINE -> sidecar.handle(new SidecarEvent.EngineUnreachable());
        case RESTART_ROUTER -> restartRouter();
        case SHORT_TIME -> sidecar.pass(50_000);
        case LONG_TIME -> sidecar.pass(1_200_000);
        case LIST_REPORTS_LEAVING -> sidecar.instances(++listVersion, true, false);
        case LIST_REPORTS_NOT_LEAVING -> sidecar.instances(++listVersion, false, false);
      }
      processCommands();
    }

    private SidecarHarness.OfferBuilder next() {
      latest = SidecarHarness.attempt("r" + requests++);
      return SidecarHarness.offer(latest.request().value()).team("team-" + requests % 3);
    }

    private void offer(SidecarHarness.OfferBuilder offer, boolean isSubmitted) {
      sidecar.receive(SidecarHarness.ROUTER, routerIncarnation, offer.build());
      if (isSubmitted && sidecar.reply(latest).refusal().isEmpty()) {
        submitted.add(latest);
        sidecar.receive(
            SidecarHarness.ROUTER, routerIncarnation, new PeerMessage.Submit(latest, "prompt", ""));
      }
    }

    private void token(AttemptId run) {
      int position = running.get(run);
      running.put(run, position + 1);
      sidecar.tokens(run, position, 1);
    }

    private void end(AttemptId run) {
      sidecar.end(run, running.remove(run));
    }

    private void breakStream(AttemptId run) {
      running.remove(run);
      sidecar.fail(run, true);
    }

    private void refuseRun(AttemptId run) {
      running.remove(run);
      refusedRuns.add(run);
      sidecar.fail(run, false);
      sidecar.status("e-" + engineIncarnation);
    }

    private void cancel() {
      abandoned.add(latest);
      sidecar.receive(SidecarHarness.ROUTER, routerIncarnation, new PeerMessage.Cancel(latest));
    }

    private void restartRouter() {
      abandoned.addAll(submitted);
      sidecar.receive(
          SidecarHarness.ROUTER,
          ++routerIncarnation,
          new PeerMessage.Hello(InstanceRole.ROUTER, "a"));
    }

    private void processCommands() {
      for (SidecarCommand command :
          sidecar.commands.subList(processedCommands, sidecar.commands.size())) {
        if (command instanceof SidecarCommand.StartAnswer start) {
          running.put(start.attempt(), start.resumePosition());
          lastRun = start.attempt();
        } else if (command instanceof SidecarCommand.CancelAnswer cancel) {
          running.remove(cancel.attempt());
        }
      }
      processedCommands = sidecar.commands.size();
    }

    /** Completes all running attempts until none is open. */
    void finish() {
      sidecar.instances(++listVersion, false, false);
      for (int round = 0; round < 400 && sidecar.core.load().running() > 0; round++) {
        sidecar.status("e-" + engineIncarnation);
        processCommands();
        List.copyOf(running.keySet()).forEach(this::end);
        processCommands();
        sidecar.pass(50_000);
        processCommands();
      }
      sidecar.pass(70_000_000);
      processCommands();
    }

    void check() {
      assertThat(sidecar.core.load().running()).isAtMost(SLOTS);
      Map<AttemptId, Integer> positions = new HashMap<>();
      Set<AttemptId> finished = new HashSet<>();
      Set<RequestId> executed = new HashSet<>();
      for (SidecarCommand command : sidecar.commands) {
        if (command instanceof SidecarCommand.StartAnswer start
            && !refusedRuns.contains(start.attempt())) {
          executed.add(start.attempt().request());
        } else if (command instanceof SidecarCommand.SendToPeer send) {
          checkMessage(send.message(), positions, finished, executed);
        }
      }
    }

    private static void checkMessage(
        PeerMessage message,
        Map<AttemptId, Integer> positions,
        Set<AttemptId> finished,
        Set<RequestId> executed) {
      if (message instanceof PeerMessage.Tokens tokens) {
        assertThat(finished).doesNotContain(tokens.attempt());
        assertThat(tokens.position()).isEqualTo(positions.getOrDefault(tokens.attempt(), 0));
        positions.merge(tokens.attempt(), tokens.count(), Integer::sum);
      } else if (message instanceof PeerMessage.Ended ended) {
        assertThat(finished.add(ended.attempt())).isTrue();
        assertThat(ended.position()).isEqualTo(positions.getOrDefault(ended.attempt(), 0));
      } else if (message instanceof PeerMessage.Failed failed) {
        assertThat(finished.add(failed.attempt())).isTrue();
        if (failed.outcome() == Outcome.NOT_RUN) {
          assertThat(executed).doesNotContain(failed.attempt().request());
        }
      }
    }

    void checkAllAnswered() {
      Set<AttemptId> answered = new HashSet<>(abandoned);
      sidecar.sent(PeerMessage.Ended.class).forEach(ended -> answered.add(ended.attempt()));
      sidecar.sent(PeerMessage.Failed.class).forEach(failed -> answered.add(failed.attempt()));
      assertThat(answered).containsAtLeastElementsIn(submitted);
      assertWithMessage("open attempts")
          .that(sidecar.core.load().running() + sidecar.core.load().waiting())
          .isEqualTo(0);
    }
  }

  @Property(seed = "44", tries = 400)
  void streamsStayInOrderAndOutcomesAreCorrect(
      @ForAll @Size(min = 10, max = 120) List<@IntRange(min = 0, max = 16) Integer> steps) {
    History history = new History();
    for (int step : steps) {
      history.apply(Step.values()[step]);
    }
    history.finish();
    history.check();
    history.checkAllAnswered();
  }
}
