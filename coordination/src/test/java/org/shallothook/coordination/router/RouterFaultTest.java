package org.shallothook.coordination.router;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.shallothook.coordination.message.CrashRole;
import org.shallothook.coordination.message.Hint;
import org.shallothook.coordination.message.PeerMessage;
import org.shallothook.state.request.AttemptId;
import org.shallothook.state.request.Outcome;
import org.shallothook.state.request.Refusal;
import org.shallothook.state.request.RefusalReason;
import org.shallothook.state.request.RequestId;

/**
 * Injects every fault at every step of a chat completion, alone and in pairs, and checks the
 * invariants after each. Guards against combinations of faults that lose or repeat tokens, end a
 * request twice or never, or report a wrong outcome.
 */
final class RouterFaultTest {
  private static final String[] ANSWER = {"one ", "two ", "three"};

  enum Step {
    OFFER,
    SUBMIT,
    MID_STREAM,
    LAST_TOKEN
  }

  enum Fault {
    CONNECTION_LOST,
    UNREACHABLE,
    FAILED_NOT_RUN,
    FAILED_UNKNOWN,
    ENGINE_CRASHED,
    SILENT,
    LEAVING,
    FRAME_REPEATED,
    FRAME_MISSING,
    END_TOO_EARLY,
    CALLER_GONE
  }

  record Injection(Step step, Fault fault) {
    /**
     * Returns whether the fault can occur in the step: frame faults need a stream, and a request
     * whose stream has started cannot fail as "not run".
     */
    boolean canOccur() {
      boolean hasStream = step == Step.MID_STREAM || step == Step.LAST_TOKEN;
      return switch (fault) {
        case FRAME_REPEATED, FRAME_MISSING, END_TOO_EARLY -> hasStream;
        case UNREACHABLE, FAILED_NOT_RUN -> !hasStream;
        case FAILED_UNKNOWN, ENGINE_CRASHED -> step != Step.OFFER;
        default -> true;
      };
    }
  }

  static List<Injection> injections() {
    List<Injection> all = new ArrayList<>();
    for (Step step : Step.values()) {
      for (Fault fault : Fault.values()) {
        Injection injection = new Injection(step, fault);
        if (injection.canOccur()) {
          all.add(injection);
        }
      }
    }
    return all;
  }

  static Stream<Arguments> plans() {
    List<Injection> all = injections();
    Stream<Arguments> singles = all.stream().map(injection -> Arguments.of(List.of(injection)));
    Stream<Arguments> pairs =
        all.stream()
            .flatMap(first -> all.stream().map(second -> Arguments.of(List.of(first, second))));
    return Stream.concat(singles, pairs);
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("plans")
  void callerGetsTheWholeAnswerOrOneCorrectEnd(List<Injection> plan) {
    RouterHarness harness =
        RouterHarness.ready(
            6, RouterOptions.builder().firstTokenWaitMicros(2_000_000).stallWaitMicros(500_000));
    Sidecars sidecars = new Sidecars(harness, plan);
    RequestId request = harness.chat("Whose turn is it?");
    for (int round = 0; round < 400 && !sidecars.hasEnded(request); round++) {
      sidecars.handleCommands();
      harness.advance(RouterCore.TICK_INTERVAL_MICROS);
    }

    assertWithMessage("the request ends").that(sidecars.hasEnded(request)).isTrue();
    assertThat(String.join("", ANSWER)).startsWith(harness.answer(request));
    if (harness.isComplete(request)) {
      assertThat(harness.answer(request)).isEqualTo(String.join("", ANSWER));
    }
    int ends =
        harness.commands(RouterCommand.CompleteAnswer.class).size()
            + harness.commands(RouterCommand.Refuse.class).size();
    assertThat(ends).isEqualTo(sidecars.isCallerGone ? 0 : 1);
    Optional<Refusal> refusal = harness.refusal(request);
    if (refusal.isPresent() && refusal.get().outcome() == Outcome.NOT_RUN) {
      assertWithMessage("a request refused as not run has not run").that(sidecars.hasRun).isFalse();
    }
    harness
        .core
        .status()
        .upstreams()
        .forEach(upstream -> assertThat(upstream.outstanding()).isEqualTo(0));
    assertThat(harness.core.status().openRequests()).isEqualTo(0);
  }

  /** Simulates healthy sidecars that inject each planned fault once, in order. */
  private static final class Sidecars {
    private final RouterHarness harness;
    private final Deque<Injection> plan;
    private final Set<AttemptId> cancelled = new HashSet<>();
    private int handled;
    private boolean hasRun;
    private boolean isCallerGone;

    Sidecars(RouterHarness harness, List<Injection> plan) {
      this.harness = harness;
      this.plan = new ArrayDeque<>(plan);
    }

    boolean hasEnded(RequestId request) {
      return isCallerGone || harness.isComplete(request) || harness.refusal(request).isPresent();
    }

    void handleCommands() {
      while (handled < harness.commands.size()) {
        if (harness.commands.get(handled++) instanceof RouterCommand.SendToPeer send) {
          receive(send.peer(), send.message());
        }
      }
    }

    private void receive(String peer, PeerMessage message) {
      if (message instanceof PeerMessage.Cancel cancel) {
        cancelled.add(cancel.attempt());
      } else if (message instanceof PeerMessage.Hello) {
        harness.status(peer, false, RouterHarness.VERSION);
      } else if (message instanceof PeerMessage.Offer offer) {
        if (!injectFault(Step.OFFER, peer, offer.attempt(), 0)) {
          harness.receive(
              peer,
              new PeerMessage.OfferReply(
                  offer.attempt(),
                  Optional.empty(),
                  new Hint(RouterHarness.blocksOf(offer), 0, 1, 0),
                  harness.now + 500_000));
        }
      } else if (message instanceof PeerMessage.Submit submit) {
        stream(peer, submit);
      }
    }

    private void stream(String peer, PeerMessage.Submit submit) {
      int position = deliveredTokens(submit.deliveredText());
      if (injectFault(Step.SUBMIT, peer, submit.attempt(), position)) {
        return;
      }
      hasRun = true;
      for (; position < ANSWER.length; position++) {
        Step step = position == ANSWER.length - 1 ? Step.LAST_TOKEN : Step.MID_STREAM;
        if (injectFault(step, peer, submit.attempt(), position)) {
          return;
        }
        tokens(peer, submit.attempt(), position);
      }
      harness.receive(peer, new PeerMessage.Ended(submit.attempt(), ANSWER.length, "stop", 0));
    }

    private static int deliveredTokens(String text) {
      int tokens = 0;
      StringBuilder delivered = new StringBuilder();
      while (!delivered.toString().equals(text)) {
        delivered.append(ANSWER[tokens++]);
      }
      return tokens;
    }

    private void tokens(String peer, AttemptId attempt, int position) {
      harness.receive(peer, new PeerMessage.Tokens(attempt, position, 1, ANSWER[position]));
      harness.send(new RouterEvent.CallerConsumed(attempt.request(), position + 1));
    }

    /**
     * Injects the next planned fault if it belongs to this step. Returns whether the attempt ends.
     */
    private boolean injectFault(Step step, String peer, AttemptId attempt, int position) {
      if (plan.isEmpty() || plan.peek().step() != step) {
        return false;
      }
      switch (plan.poll().fault()) {
        case CONNECTION_LOST -> {
          hasRun |= step != Step.OFFER;
          harness.send(new RouterEvent.PeerLost(peer));
        }
        case UNREACHABLE -> harness.send(new RouterEvent.PeerUnreachable(peer));
        case FAILED_NOT_RUN -> fail(peer, attempt, Outcome.NOT_RUN, CrashRole.NONE);
        case FAILED_UNKNOWN -> {
          hasRun = true;
          fail(peer, attempt, Outcome.UNKNOWN, CrashRole.NONE);
        }
        case ENGINE_CRASHED -> {
          hasRun = true;
          fail(peer, attempt, Outcome.UNKNOWN, CrashRole.PREFILLING);
        }
        case SILENT -> hasRun |= step != Step.OFFER;
        case LEAVING -> {
          harness.status(peer, true, RouterHarness.VERSION);
          return false;
        }
        case FRAME_REPEATED -> {
          if (position > 0) {
            tokens(peer, attempt, position - 1);
          }
          tokens(peer, attempt, position);
          return false;
        }
        case FRAME_MISSING -> {
          if (position + 1 < ANSWER.length) {
            tokens(peer, attempt, position + 1);
          }
          harness.receive(peer, new PeerMessage.Ended(attempt, ANSWER.length, "stop", 0));
        }
        case END_TOO_EARLY ->
            harness.receive(peer, new PeerMessage.Ended(attempt, ANSWER.length, "stop", 0));
        case CALLER_GONE -> {
          hasRun |= step != Step.OFFER;
          isCallerGone = true;
          harness.send(new RouterEvent.CallerGone(attempt.request()));
        }
      }
      return true;
    }

    private void fail(String peer, AttemptId attempt, Outcome outcome, CrashRole role) {
      RefusalReason reason =
          outcome == Outcome.NOT_RUN ? RefusalReason.QUEUE_FULL : RefusalReason.ENGINE_LOST;
      harness.receive(peer, new PeerMessage.Failed(attempt, reason, outcome, "test", 0, role));
    }
  }
}
