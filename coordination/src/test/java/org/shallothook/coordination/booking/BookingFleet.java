package org.shallothook.coordination.booking;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.shallothook.coordination.fake.FakeLog;
import org.shallothook.coordination.fake.VirtualTime;
import org.shallothook.coordination.message.Envelope;
import org.shallothook.coordination.message.PeerMessage;
import org.shallothook.coordination.port.AppendKind;
import org.shallothook.coordination.port.Counters;
import org.shallothook.coordination.port.Outbox;
import org.shallothook.coordination.sidecar.SidecarCommand;
import org.shallothook.state.log.LogPage;
import org.shallothook.state.membership.Instance;
import org.shallothook.state.membership.InstanceList;
import org.shallothook.state.membership.InstanceRole;
import org.shallothook.state.request.AttemptId;
import org.shallothook.state.request.Outcome;
import org.shallothook.state.request.RefusalReason;
import org.shallothook.state.request.RequestId;

/**
 * Sidecars that make at-most-once calls, with a fake log, a service and callers, in virtual time.
 * Not thread-safe.
 */
final class BookingFleet {
  static final long TICK_MICROS = 50_000;
  private static final long MESSAGE_MICROS = 1_000;

  final SplittableRandom random;
  final VirtualTime time;
  final FakeLog log;
  final List<Node> nodes = new ArrayList<>();
  final Map<String, Integer> executions = new HashMap<>();
  final Set<AttemptId> attemptsRun = new HashSet<>();
  final List<Answer> answers = new ArrayList<>();
  final List<Long> claimMicros = new ArrayList<>();

  /** Probability that the response of the service is lost after the call was executed. */
  double lostResponseProbability;

  /** Probability that a call does not reach the service. */
  double unreachableProbability;

  private final ClaimOptions options;
  private final Map<AttemptId, SentBooking> sentBookings = new HashMap<>();
  private long requests;

  /** A booking that was sent to a sidecar, and when. */
  record SentBooking(String key, String payload, long sentMicros) {}

  /** The result that a caller received, and how often its key had been executed by then. */
  record Answer(
      AttemptId attempt,
      String key,
      String payload,
      Outcome outcome,
      Optional<RefusalReason> reason,
      String body,
      int executions) {}

  BookingFleet(SplittableRandom random, int sidecars, ClaimOptions options) {
    this.random = random;
    this.time = new VirtualTime(1_000_000_000_000L);
    this.log = new FakeLog(time, random.split());
    this.options = options;
    for (int i = 0; i < sidecars; i++) {
      nodes.add(new Node("booking-" + i));
    }
    nodes.forEach(Node::restart);
  }

  InstanceList listOf(List<Node> members) {
    return new InstanceList(1, members.stream().map(node -> instance(node.name)).toList());
  }

  private static Instance instance(String name) {
    return new Instance(name, InstanceRole.SERVICE, "127.0.0.1:1", "a", "r", "cloths", false);
  }

  /** Sends a booking to a sidecar, as a router would. */
  void book(Node node, String key, String payload, long timeoutMicros) {
    AttemptId attempt = new AttemptId(new RequestId("request-" + requests++), 1);
    sentBookings.put(attempt, new SentBooking(key, payload, time.now()));
    PeerMessage.Call call =
        new PeerMessage.Call(
            attempt,
            "guild",
            "cloths",
            "book",
            Optional.of(key),
            "text/plain",
            payload,
            false,
            false,
            time.now() + timeoutMicros);
    time.schedule(
        MESSAGE_MICROS,
        () -> node.runUnlessPaused(() -> node.calls.onCall("router", call, time.now())));
  }

  private void onRouterMessage(PeerMessage message) {
    if (message instanceof PeerMessage.CallAnswer answer) {
      addAnswer(answer.attempt(), Outcome.DONE, Optional.empty(), answer.body());
    } else if (message instanceof PeerMessage.Failed failed) {
      boolean mustNameRetryTime = failed.reason() == RefusalReason.LOG_UNAVAILABLE;
      assertThat(failed.retryAtMicros() > 0 || !mustNameRetryTime).isTrue();
      addAnswer(failed.attempt(), failed.outcome(), Optional.of(failed.reason()), "");
    }
  }

  private void addAnswer(
      AttemptId attempt, Outcome outcome, Optional<RefusalReason> reason, String body) {
    SentBooking booking = sentBookings.get(attempt);
    int runs = executions.getOrDefault(booking.key(), 0);
    answers.add(new Answer(attempt, booking.key(), booking.payload(), outcome, reason, body, runs));
  }

  /** One sidecar. Events that reach it while it is paused are delivered when it resumes. */
  final class Node {
    final String name;
    AtMostOnceCalls calls;
    private long incarnation;
    private long tokens;
    private long pausedUntilMicros;
    private final ArrayDeque<Runnable> heldEvents = new ArrayDeque<>();

    Node(String name) {
      this.name = name;
    }

    void restart() {
      long current = ++incarnation;
      heldEvents.clear();
      pausedUntilMicros = 0;
      NodeOutbox outbox = new NodeOutbox(current);
      calls =
          new AtMostOnceCalls(
              name, incarnation, outbox, call -> dispatch(current, call), options, Counters.NONE);
      calls.onInstances(listOf(nodes));
      time.schedule(random.nextLong(TICK_MICROS), () -> tick(current));
    }

    void pause(long micros) {
      pausedUntilMicros = time.now() + micros;
      long current = incarnation;
      time.schedule(micros, () -> resume(current));
    }

    void runUnlessPaused(Runnable event) {
      if (time.now() < pausedUntilMicros) {
        heldEvents.add(event);
      } else {
        event.run();
      }
    }

    private void resume(long eventIncarnation) {
      while (eventIncarnation == incarnation
          && !heldEvents.isEmpty()
          && time.now() >= pausedUntilMicros) {
        heldEvents.remove().run();
      }
    }

    private void ifCurrent(long eventIncarnation, Runnable event) {
      if (eventIncarnation == incarnation) {
        runUnlessPaused(
            () -> {
              if (eventIncarnation == incarnation) {
                event.run();
              }
            });
      }
    }

    private void tick(long eventIncarnation) {
      ifCurrent(
          eventIncarnation,
          () -> {
            calls.onTick(time.now());
            time.schedule(TICK_MICROS, () -> tick(eventIncarnation));
          });
    }

    /** A dispatched call reaches the service even if its sidecar crashes afterwards. */
    private void dispatch(long eventIncarnation, SidecarCommand.CallService call) {
      SentBooking booking = sentBookings.get(call.attempt());
      claimMicros.add(time.now() - booking.sentMicros());
      if (random.nextDouble() < unreachableProbability) {
        time.schedule(
            MESSAGE_MICROS,
            () ->
                ifCurrent(
                    eventIncarnation, () -> calls.onFailed(call.attempt(), false, time.now())));
        return;
      }
      long delay = 1_000 + random.nextLong(20_000);
      time.schedule(delay, () -> runService(eventIncarnation, call));
    }

    private void runService(long eventIncarnation, SidecarCommand.CallService call) {
      String key = call.idempotencyKey().orElseThrow();
      attemptsRun.add(call.attempt());
      int count = executions.merge(key, 1, Integer::sum);
      boolean isLost = random.nextDouble() < lostResponseProbability;
      String body = key + " " + call.body() + " run " + count;
      time.schedule(
          MESSAGE_MICROS,
          () ->
              ifCurrent(
                  eventIncarnation,
                  () -> {
                    if (isLost) {
                      calls.onFailed(call.attempt(), true, time.now());
                    } else {
                      calls.onAnswered(call.attempt(), 200, "text/plain", body, time.now());
                    }
                  }));
    }

    private final class NodeOutbox implements Outbox {
      private final long boundIncarnation;

      NodeOutbox(long boundIncarnation) {
        this.boundIncarnation = boundIncarnation;
      }

      @Override
      public void send(String peer, PeerMessage message) {
        if (peer.equals("router")) {
          time.schedule(MESSAGE_MICROS, () -> onRouterMessage(message));
          return;
        }
        Node to = nodes.stream().filter(node -> node.name.equals(peer)).findFirst().orElseThrow();
        long toIncarnation = to.incarnation;
        Envelope envelope = new Envelope(name, boundIncarnation, 0, message);
        time.schedule(
            MESSAGE_MICROS,
            () -> to.ifCurrent(toIncarnation, () -> to.calls.onEnvelope(envelope, time.now())));
      }

      @Override
      public void readLog(String stream, long fromOffset) {
        log.read(
            stream,
            fromOffset,
            page -> ifCurrent(boundIncarnation, () -> read(page)),
            () -> ifCurrent(boundIncarnation, () -> calls.onLogReadFailed(stream, time.now())));
      }

      private void read(LogPage page) {
        calls.onLogRead(page, time.now());
      }

      @Override
      public long appendLog(AppendKind kind, String stream, String payload) {
        long token = tokens++;
        log.append(
            stream,
            payload,
            offset -> ifCurrent(boundIncarnation, () -> calls.onLogAppended(token, time.now())),
            may ->
                ifCurrent(boundIncarnation, () -> calls.onLogAppendFailed(token, may, time.now())));
        return token;
      }
    }
  }
}
