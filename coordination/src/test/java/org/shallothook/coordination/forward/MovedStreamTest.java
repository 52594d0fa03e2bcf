package org.shallothook.coordination.forward;

import static com.google.common.truth.Truth.assertThat;
import static org.shallothook.coordination.forward.ForwardHarness.MILLI;
import static org.shallothook.coordination.forward.ForwardHarness.SECOND;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.shallothook.state.request.Refusal;
import org.shallothook.state.request.RefusalReason;

/** A stream that was taken from a silent server goes on, whatever becomes of its next attempt. */
final class MovedStreamTest {
  /** Servers of the harness have this many slots. */
  private static final int SLOTS = 8;

  private static final Optional<Long> LAST_EVENT = Optional.of(3L);

  /** What becomes of the attempt that follows the one at the silent server. */
  private enum NextAttempt {
    REJECTED {
      @Override
      void fail(ForwardHarness harness, long stream) {
        harness.reject(stream, 503);
      }
    },
    CLOSED_FOR_A_TIME {
      @Override
      void fail(ForwardHarness harness, long stream) {
        harness.respond(
            stream,
            new ResponseHead(
                503, true, Optional.empty(), Optional.empty(), false, Optional.of(SECOND)));
      }
    },
    FAILED {
      @Override
      void fail(ForwardHarness harness, long stream) {
        harness.respond(stream, 500);
      }
    },
    BROKEN {
      @Override
      void fail(ForwardHarness harness, long stream) {
        harness.breakConnection(stream, Optional.empty());
      }
    },
    BROKEN_AFTER_AN_EVENT {
      @Override
      void fail(ForwardHarness harness, long stream) {
        harness.respond(stream, 200);
        harness.breakConnection(stream, LAST_EVENT);
      }
    },
    UNREACHABLE {
      @Override
      void fail(ForwardHarness harness, long stream) {
        harness.failToSend(stream);
      }
    },
    REJECTED_AND_REMOVED {
      @Override
      void fail(ForwardHarness harness, long stream) {
        harness.handle(new ForwardEvent.ServerRemoved(harness.serverOf(stream)));
        harness.reject(stream, 503);
      }
    },
    REJECTED_WITH_AN_EMPTY_BUDGET {
      @Override
      void fail(ForwardHarness harness, long stream) {
        exhaustRetries(harness);
        harness.reject(stream, 503);
      }
    },
    BROKEN_WITH_AN_EMPTY_BUDGET {
      @Override
      void fail(ForwardHarness harness, long stream) {
        exhaustRetries(harness);
        harness.breakConnection(stream, Optional.empty());
      }
    };

    abstract void fail(ForwardHarness harness, long stream);
  }

  /** What happens between the decision to move a stream and the end of its attempt. */
  private enum Meanwhile {
    OTHER_SERVERS_FILL_UP {
      @Override
      void happen(ForwardHarness harness, long stream) {
        for (int index = 0; index < 6 * SLOTS; index++) {
          harness.submitShortPrompt("letter-" + index);
        }
      }
    },
    OTHER_SERVERS_LEAVE {
      @Override
      void happen(ForwardHarness harness, long stream) {
        otherServers(harness, stream)
            .forEach(server -> harness.handle(new ForwardEvent.ServerRemoved(server)));
      }
    },
    OTHER_SERVERS_FAIL {
      @Override
      void happen(ForwardHarness harness, long stream) {
        for (String server : otherServers(harness, stream)) {
          for (int index = 0; index < SLOTS; index++) {
            long letter = harness.submitShortPrompt(server + index);
            if (harness.sent(letter).isPresent() && harness.serverOf(letter).equals(server)) {
              harness.breakConnection(letter, Optional.empty());
            }
          }
        }
      }
    };

    abstract void happen(ForwardHarness harness, long stream);
  }

  private static List<String> otherServers(ForwardHarness harness, long stream) {
    List<String> others = new ArrayList<>(List.of("engine-1", "engine-2"));
    others.remove(harness.serverOf(stream));
    return others;
  }

  /** Uses up the retry budget of the service. */
  private static void exhaustRetries(ForwardHarness harness) {
    Optional<RefusalReason> refused = Optional.empty();
    for (int index = 0; !refused.equals(Optional.of(RefusalReason.RETRY_BUDGET_EMPTY)); index++) {
      long other = harness.submitShortPrompt("other-" + index);
      if (harness.sent(other).isPresent()) {
        harness.reject(other, 503);
      }
      refused = harness.refusal(other).map(Refusal::reason);
      harness.handle(new ForwardEvent.CallerGone(other));
      harness.advance(20 * MILLI);
    }
  }

  /** Adds to the retry budget with requests that succeed at once. */
  private static void refillRetries(ForwardHarness harness) {
    for (int index = 0; index < 20; index++) {
      long other = harness.submitShortPrompt("sound-" + index);
      if (harness.sent(other).isPresent()) {
        harness.respond(other, 200);
        harness.complete(other);
      }
    }
  }

  /** Returns a stream whose server has been silent, and that is about to be moved. */
  private static long movedStream(ForwardHarness harness) {
    long stream = harness.submitLongPrompt("north");
    harness.respond(stream, 200);
    harness.handle(new ForwardEvent.Stalled(stream, 1));
    assertThat(harness.commands).contains(new ForwardCommand.GiveUp(stream, 1));
    return stream;
  }

  private static void giveUp(ForwardHarness harness, long stream) {
    harness.handle(new ForwardEvent.Broken(stream, 1, false, "silent", LAST_EVENT, harness.now()));
  }

  /** Reads the entry of a server once more; it is written again about every second. */
  private static void heartbeat(ForwardHarness harness, int index) {
    harness.handle(
        new ForwardEvent.ServersRead(
            List.of(ForwardHarness.engine("engine-" + index, index, 1)), false));
  }

  static List<Arguments> nextAttempts() {
    List<Arguments> cases = new ArrayList<>();
    for (NextAttempt next : NextAttempt.values()) {
      for (int engines : new int[] {2, 3, 8}) {
        cases.add(Arguments.of(next, engines));
      }
    }
    return cases;
  }

  /** Guards against a response without an end after its sound server was silent for a moment. */
  @ParameterizedTest
  @MethodSource("nextAttempts")
  void aMovedStreamOutlastsItsNextAttempt(NextAttempt next, int engines) {
    ForwardHarness harness = ForwardHarness.ready(engines, 0);
    long stream = movedStream(harness);
    giveUp(harness, stream);
    assertThat(harness.sends(stream)).isEqualTo(2);

    String nextServer = harness.serverOf(stream);
    next.fail(harness, stream);
    for (int index = 1; index <= engines; index++) {
      String name = "engine-" + index;
      if (next != NextAttempt.REJECTED_AND_REMOVED || !name.equals(nextServer)) {
        heartbeat(harness, index);
      }
    }
    harness.advance(400 * MILLI);
    assertThat(harness.isBrokenOff(stream)).isFalse();
    refillRetries(harness);
    harness.advance(1_100 * MILLI);

    assertThat(harness.isBrokenOff(stream)).isFalse();
    assertThat(harness.sends(stream)).isAtLeast(3);
    assertThat(harness.sent(stream).orElseThrow().dispatch().resumesAfter()).isEqualTo(LAST_EVENT);
    harness.respond(stream, 200);
    harness.complete(stream);
    assertThat(harness.isBrokenOff(stream)).isFalse();
  }

  /** Guards against a response that ends because its next server filled up or left meanwhile. */
  @ParameterizedTest
  @EnumSource(Meanwhile.class)
  void aMovedStreamOutlastsAChangeBeforeItsNextAttempt(Meanwhile meanwhile) {
    ForwardHarness harness = ForwardHarness.ready(2, 0);
    long stream = movedStream(harness);
    meanwhile.happen(harness, stream);
    giveUp(harness, stream);
    harness.advance(400 * MILLI);

    assertThat(harness.isBrokenOff(stream)).isFalse();
  }

  /** Guards against a stream that moves to and fro between servers that are all silent. */
  @Test
  void aMovedStreamStaysAtItsNextServerWhileBothAreSilent() {
    ForwardHarness harness = ForwardHarness.ready(2, 0);
    long stream = streamAtItsNextServer(harness);

    harness.handle(new ForwardEvent.Stalled(stream, 2));

    assertThat(harness.commands).doesNotContain(new ForwardCommand.GiveUp(stream, 2));
    harness.complete(stream);
    assertThat(harness.isBrokenOff(stream)).isFalse();
  }

  /** Guards against a stream that waits at a dead server while the one before has gone on. */
  @Test
  void aMovedStreamReturnsToAServerThatHasGoneOn() {
    ForwardHarness harness = ForwardHarness.ready(2, 0);
    long stream = streamAtItsNextServer(harness);
    String first = otherServers(harness, stream).get(0);
    long letter = submitTo(harness, first);
    harness.respond(letter, 200);

    harness.handle(new ForwardEvent.Stalled(stream, 2));

    assertThat(harness.commands).contains(new ForwardCommand.GiveUp(stream, 2));
    harness.handle(new ForwardEvent.Broken(stream, 2, false, "silent", LAST_EVENT, harness.now()));
    assertThat(harness.serverOf(stream)).isEqualTo(first);
  }

  private static long streamAtItsNextServer(ForwardHarness harness) {
    long stream = movedStream(harness);
    giveUp(harness, stream);
    heartbeat(harness, 1);
    heartbeat(harness, 2);
    harness.respond(stream, 200);
    harness.advance(500 * MILLI);
    return stream;
  }

  private static long submitTo(ForwardHarness harness, String server) {
    long letter;
    int index = 0;
    do {
      letter = harness.submitShortPrompt("letter-" + index++);
    } while (!harness.serverOf(letter).equals(server));
    return letter;
  }
}
