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
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** A request without a response is taken from a silent server only if another one can take it. */
final class SilentServerTest {
  /** Time after which a request at a silent server counts as stuck, whatever its route. */
  private static final long STUCK_MICROS = 740 * MILLI;

  /** Kinds of requests that may be sent again. */
  private enum Kind {
    CALL {
      @Override
      long submit(ForwardHarness harness) {
        return harness.submitCall("/read/1");
      }
    },
    STREAM {
      @Override
      long submit(ForwardHarness harness) {
        return harness.submitLongPrompt("north");
      }
    };

    abstract long submit(ForwardHarness harness);
  }

  /** Reasons for which no other server can take a request. */
  private enum Obstacle {
    NO_OTHER_SERVER(1) {
      @Override
      void arise(ForwardHarness harness, String other) {}
    },
    OTHER_SERVER_LEAVES(2) {
      @Override
      void arise(ForwardHarness harness, String other) {
        harness.handle(new ForwardEvent.ServerRemoved(other));
      }
    },
    OTHER_SERVER_IS_FULL(2) {
      @Override
      void arise(ForwardHarness harness, String other) {
        for (int index = 0; index < 16; index++) {
          harness.submitCall("/book/" + index);
          harness.submitShortPrompt("letter-" + index);
        }
      }
    };

    private final int servers;

    Obstacle(int servers) {
      this.servers = servers;
    }

    abstract void arise(ForwardHarness harness, String other);
  }

  static List<Arguments> cases() {
    List<Arguments> cases = new ArrayList<>();
    for (Kind kind : Kind.values()) {
      for (Obstacle obstacle : Obstacle.values()) {
        cases.add(Arguments.of(kind, obstacle));
      }
    }
    return cases;
  }

  private static String other(String server) {
    return server.endsWith("1") ? server.replace("1", "2") : server.replace("2", "1");
  }

  /** Guards against a request that is refused because its sound server is silent for a moment. */
  @ParameterizedTest
  @MethodSource("cases")
  void aRequestThatCannotMoveStaysAtItsSilentServer(Kind kind, Obstacle obstacle) {
    ForwardHarness harness = ForwardHarness.ready(obstacle.servers, obstacle.servers);
    long request = kind.submit(harness);
    obstacle.arise(harness, other(harness.serverOf(request)));

    harness.advance(STUCK_MICROS);

    assertThat(harness.refusal(request)).isEqualTo(Optional.empty());
    assertThat(harness.commands).doesNotContain(new ForwardCommand.Drop(request, 1));
    harness.respond(request, 200);
    harness.complete(request);
    assertThat(harness.refusal(request)).isEqualTo(Optional.empty());
  }

  /** Guards against a request that waits for a dead server although another one is free. */
  @Test
  void aRequestMovesIfAnotherServerCanTakeIt() {
    ForwardHarness harness = ForwardHarness.ready(0, 2);
    long request = Kind.CALL.submit(harness);
    String first = harness.serverOf(request);

    harness.advance(STUCK_MICROS);

    assertThat(harness.commands).contains(new ForwardCommand.Drop(request, 1));
    assertThat(harness.serverOf(request)).isEqualTo(other(first));
  }

  /** Guards against a server that gets no requests because its streams are all under way. */
  @ParameterizedTest
  @ValueSource(ints = {1, 3})
  void aServerThatOnlyRelaysStreamsIsNotSilent(int streams) {
    ForwardHarness harness = ForwardHarness.ready(1, 0);
    for (int index = 0; index < streams; index++) {
      harness.respond(harness.submitShortPrompt("letter-" + index), 200);
    }
    harness.advance(2 * SECOND);

    long request = harness.submitShortPrompt("late");

    assertThat(harness.sends(request)).isEqualTo(1);
  }

  /** Guards against a standstill of the router that is taken for silence of its servers. */
  @ParameterizedTest
  @ValueSource(longs = {1_300 * MILLI, 3 * SECOND})
  void aStandstillOfTheRouterIsNoSilenceOfAServer(long standstillMicros) {
    ForwardHarness harness = ForwardHarness.ready(2, 0);
    long request = Kind.STREAM.submit(harness);
    harness.standStill(standstillMicros);

    harness.handle(new ForwardEvent.Tick());

    assertThat(harness.commands).doesNotContain(new ForwardCommand.Drop(request, 1));
    harness.respond(request, 200);
    assertThat(harness.sends(request)).isEqualTo(1);
  }
}
