package org.shallothook.coordination.forward;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.shallothook.coordination.forward.WalledFleet.Place;

/**
 * A request that was sent before a team became isolated is sent again after it, and uses parts
 * across the wall or leaves its own to others.
 */
final class OpenRequestIsolationTest {
  private static final String TEAM = "guild";
  private static final String OTHER = "parish";
  private static final String REGISTER = "north";
  private static final long LAST_EVENT = 3;

  /** Why the request is sent again; returns the number of the request that was. */
  private enum Cause {
    UNSENT {
      @Override
      long sendAgain(WalledFleet fleet, String team, long request) {
        fleet.happen(0, harness -> harness.failToSend(request));
        return request;
      }
    },
    REJECTED {
      @Override
      long sendAgain(WalledFleet fleet, String team, long request) {
        fleet.happen(0, harness -> harness.reject(request, 503));
        return request;
      }
    },
    FAILED {
      @Override
      long sendAgain(WalledFleet fleet, String team, long request) {
        fleet.happen(0, harness -> harness.respond(request, 500));
        return request;
      }
    },
    BROKEN {
      @Override
      long sendAgain(WalledFleet fleet, String team, long request) {
        fleet.happen(0, harness -> breakAttempt(harness, request, Optional.empty()));
        return request;
      }
    },
    RESUMED {
      @Override
      long sendAgain(WalledFleet fleet, String team, long request) {
        fleet.begin(0, request);
        fleet.happen(0, harness -> breakAttempt(harness, request, Optional.of(LAST_EVENT)));
        return request;
      }
    },
    MOVED {
      @Override
      long sendAgain(WalledFleet fleet, String team, long request) {
        fleet.begin(0, request);
        fleet.happen(
            0,
            harness -> {
              int attempt = harness.sent(request).orElseThrow().attempt();
              harness.handle(new ForwardEvent.Stalled(request, attempt));
              breakAttempt(harness, request, Optional.of(LAST_EVENT));
            });
        return request;
      }
    },
    RESUMED_BY_ITS_CALLER {
      @Override
      long sendAgain(WalledFleet fleet, String team, long request) {
        fleet.begin(0, request);
        fleet.happen(0, harness -> harness.handle(new ForwardEvent.CallerGone(request)));
        long resumed = fleet.resume(0, team, REGISTER, LAST_EVENT);
        fleet.happen(0, harness -> harness.handle(new ForwardEvent.OriginsRead(harness.now())));
        return resumed;
      }
    },
    REPEATED_BY_ITS_CALLER {
      @Override
      long sendAgain(WalledFleet fleet, String team, long request) {
        fleet.happen(0, harness -> harness.handle(new ForwardEvent.CallerGone(request)));
        return fleet.openResumable(0, team, REGISTER);
      }
    };

    abstract long sendAgain(WalledFleet fleet, String team, long request);
  }

  private static void breakAttempt(ForwardHarness harness, long request, Optional<Long> lastEvent) {
    String server = harness.serverOf(request);
    harness.breakConnection(request, lastEvent);
    harness.handle(new ForwardEvent.ServerChecked(server, false));
  }

  static Stream<Arguments> cases() {
    return Stream.of(Cause.values())
        .flatMap(
            cause ->
                Stream.of(Place.values())
                    .flatMap(
                        place ->
                            Stream.of(TEAM, OTHER).map(team -> Arguments.of(cause, place, team))));
  }

  @ParameterizedTest
  @MethodSource("cases")
  void aRequestThatIsSentAgainStaysOnItsSideOfTheWall(Cause cause, Place place, String team) {
    String opposite = team.equals(TEAM) ? OTHER : TEAM;
    WalledFleet fleet = new WalledFleet(place, 2, Set.of(TEAM, OTHER));
    fleet.ask(0, opposite, REGISTER);
    long request = fleet.openResumable(0, team, REGISTER);
    String saltBefore = fleet.dispatch(0, request).cacheSalt().orElseThrow();
    fleet.publish(Set.of(TEAM));
    fleet.read(0);
    long sentAgain = cause.sendAgain(fleet, team, request);
    assertThat(fleet.dispatch(0, sentAgain).cacheSalt().orElseThrow()).isNotEqualTo(saltBefore);
    fleet.read(1);
    fleet.ask(1, opposite, REGISTER);
    fleet.ask(0, opposite, REGISTER);
    assertThat(fleet.crossings()).isEmpty();
  }
}
