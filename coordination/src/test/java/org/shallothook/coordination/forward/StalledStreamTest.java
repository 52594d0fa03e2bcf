package org.shallothook.coordination.forward;

import static com.google.common.truth.Truth.assertThat;
import static org.shallothook.coordination.forward.ForwardHarness.MILLI;
import static org.shallothook.coordination.forward.ForwardHarness.SECOND;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.shallothook.state.request.Refusal;
import org.shallothook.state.request.RefusalReason;

/** A server's silence ends no response: a stream moves only if another server can go on with it. */
final class StalledStreamTest {
  private static final RefusalReason EMPTY = RefusalReason.RETRY_BUDGET_EMPTY;

  /** Servers of the harness have this many slots. */
  private static final int SLOTS = 8;

  /** Reasons for which a stream cannot be resumed elsewhere. */
  private enum Obstacle {
    NO_OTHER_SERVER(1) {
      @Override
      void arise(ForwardHarness harness, long stream) {}
    },
    NO_RUNS_REMAINING(3) {
      @Override
      void arise(ForwardHarness harness, long stream) {
        harness.breakConnection(stream, Optional.of(3L));
        harness.respond(stream, 200);
      }
    },
    NO_FREE_SLOT(2) {
      @Override
      void arise(ForwardHarness harness, long stream) {
        for (int index = 0; index < 4 * SLOTS; index++) {
          harness.submitShortPrompt("letter-" + index);
        }
      }
    },
    RETRY_BUDGET_EMPTY(2) {
      @Override
      void arise(ForwardHarness harness, long stream) {
        Optional<RefusalReason> refused = Optional.empty();
        for (int index = 0; !refused.equals(Optional.of(EMPTY)); index++) {
          long other = harness.submitLongPrompt("other-" + index);
          if (harness.sent(other).isPresent()) {
            harness.reject(other, 503);
          }
          refused = harness.refusal(other).map(Refusal::reason);
          harness.handle(new ForwardEvent.CallerGone(other));
          harness.advance(30 * MILLI);
        }
        harness.advance(100 * MILLI);
      }
    },
    OTHER_SERVER_LEAVES(2) {
      @Override
      void arise(ForwardHarness harness, long stream) {
        for (int index = 1; index <= 2; index++) {
          if (!harness.serverOf(stream).equals("engine-" + index)) {
            harness.handle(new ForwardEvent.ServerRemoved("engine-" + index));
          }
        }
      }
    };

    private final int engines;

    Obstacle(int engines) {
      this.engines = engines;
    }

    abstract void arise(ForwardHarness harness, long stream);
  }

  private static long stream(ForwardHarness harness) {
    long stream = harness.submitLongPrompt("north");
    harness.respond(stream, 200);
    return stream;
  }

  private static void stall(ForwardHarness harness, long stream) {
    int attempt = harness.sent(stream).orElseThrow().attempt();
    harness.handle(new ForwardEvent.Stalled(stream, attempt));
  }

  private static boolean isGivenUp(ForwardHarness harness, long stream) {
    return harness.commands.stream()
        .anyMatch(
            command -> command instanceof ForwardCommand.GiveUp given && given.request() == stream);
  }

  /**
   * Guards against ending a response because its server is silent, as one that has preempted it.
   */
  @ParameterizedTest
  @EnumSource(Obstacle.class)
  void aStreamThatCannotMoveStaysAtItsSilentServer(Obstacle obstacle) {
    ForwardHarness harness = ForwardHarness.ready(obstacle.engines, 0);
    long stream = stream(harness);
    obstacle.arise(harness, stream);

    for (int check = 0; check < 6; check++) {
      stall(harness, stream);
      harness.advance(40 * MILLI);
    }

    assertThat(isGivenUp(harness, stream)).isFalse();
    assertThat(harness.isBrokenOff(stream)).isFalse();
    assertThat(harness.counted).containsEntry("streams.stalled-kept", 1);
    harness.complete(stream);
    assertThat(harness.isBrokenOff(stream)).isFalse();
  }

  @ParameterizedTest
  @ValueSource(booleans = {false, true})
  void aStreamMovesIfAnotherServerCanGoOnWithIt(boolean isLeaving) {
    ForwardHarness harness = ForwardHarness.ready(2, 0);
    long stream = stream(harness);
    String first = harness.serverOf(stream);
    if (isLeaving) {
      harness.handle(new ForwardEvent.Leaving(harness.now(), harness.now() + 8 * SECOND));
    }

    stall(harness, stream);
    assertThat(harness.commands).contains(new ForwardCommand.GiveUp(stream, 1));
    harness.breakConnection(stream, Optional.of(3L));

    assertThat(harness.serverOf(stream)).isNotEqualTo(first);
    assertThat(harness.sent(stream).orElseThrow().dispatch().resumesAfter())
        .isEqualTo(Optional.of(3L));
  }

  /**
   * The retry that was taken for a stream is kept for it, so that it does not break off after all.
   */
  @Test
  void aStreamThatWasGivenUpUsesTheRetryThatWasTakenForIt() {
    ForwardHarness harness = ForwardHarness.ready(2, 0);
    long stream = stream(harness);
    stall(harness, stream);
    Obstacle.RETRY_BUDGET_EMPTY.arise(harness, stream);
    stall(harness, stream);

    harness.breakConnection(stream, Optional.of(3L));

    assertThat(harness.isBrokenOff(stream)).isFalse();
    assertThat(harness.sends(stream)).isEqualTo(2);
  }

  @Test
  void oneLineAndCountATimeThatTheAnswerChanges() {
    ForwardHarness harness = ForwardHarness.ready(1, 0);
    long stream = stream(harness);
    stall(harness, stream);
    stall(harness, stream);
    harness.handle(
        new ForwardEvent.ServersRead(List.of(ForwardHarness.engine("engine-2", 2, 1)), false));
    stall(harness, stream);

    assertThat(harness.counted).containsEntry("streams.stalled-kept", 1);
    assertThat(harness.counted).containsEntry("streams.stalled-moved", 1);
  }
}
