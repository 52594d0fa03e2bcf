package org.shallothook.coordination.forward;

import static com.google.common.truth.Truth.assertThat;
import static org.shallothook.coordination.forward.CrashingFleet.MILLI;
import static org.shallothook.coordination.forward.CrashingFleet.SECOND;

import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.shallothook.coordination.forward.CrashingFleet.Kind;

/** Covers requests of each kind that crash each server that runs them and that come seldom. */
final class CrashingRequestTest {
  /** Time that a router may take to learn what others know, by the platform's bounds. */
  private static final long CONTACT_MICROS = 3 * SECOND;

  private static final int ALLOWED_ARRIVALS = 3;
  private static final String DEADLY = "deadly";

  /** Returns a kind, numbers of servers and routers, the first moment and the mean interval. */
  static Stream<Arguments> deployments() {
    return Stream.of(Kind.values())
        .flatMap(
            kind ->
                Stream.of(
                    Arguments.of(kind, 3, 1, 500L, 300L),
                    Arguments.of(kind, 3, 4, 6_000L, 2_000L),
                    Arguments.of(kind, 4, 4, 500L, 2_000L),
                    Arguments.of(kind, 4, 2, 6_000L, 100L),
                    Arguments.of(kind, 8, 4, 6_000L, 2_000L),
                    Arguments.of(kind, 12, 4, 5_000L, 2_000L),
                    Arguments.of(kind, 12, 4, 200L, 300L),
                    Arguments.of(kind, 12, 4, 5_000L, 100L),
                    Arguments.of(kind, 24, 8, 5_000L, 300L)));
  }

  // Guards against a request that comes seldom crashing server after server, as its crashes are
  // far apart and its caller repeats it at other routers.
  @ParameterizedTest
  @MethodSource("deployments")
  void aDeadlyRequestStopsReachingServers(
      Kind kind, int servers, int routers, long firstMillis, long intervalMillis) {
    CrashingFleet fleet = new CrashingFleet(routers, servers, servers, intervalMillis + servers);
    fleet.callerRetryMicros = Optional.of(50 * MILLI);
    fleet.deadlyParts.add(DEADLY);
    long start = fleet.now();
    long end = start + 40 * SECOND;
    fleet.submitSoundEvery(30 * MILLI, end);
    fleet.submitDistinctCallsEvery(40 * MILLI, end);
    fleet.runUntil(start + firstMillis * MILLI);
    fleet.submitCopiesEvery(intervalMillis * MILLI, end, kind, DEADLY);
    fleet.runUntil(end);

    long thirdCrash = fleet.crashTimeBy(DEADLY, 3).orElseThrow();
    assertThat(fleet.arrivalsAfter(DEADLY, thirdCrash + CONTACT_MICROS)).isAtMost(ALLOWED_ARRIVALS);
    assertThat(fleet.crashesBy(DEADLY)).isAtMost(intervalMillis < 2_000 ? 6 : 4);
    assertThat(fleet.begunShare(thirdCrash + 2 * CONTACT_MICROS, end - SECOND)).isAtLeast(0.9);
    assertThat(fleet.wronglyRefused()).isAtMost(1);
  }

  /** What keeps a router from seeing that the server of a stream has crashed. */
  enum Disturbance {
    STANDSTILL {
      @Override
      void run(CrashingFleet fleet, int router, long durationMicros) {
        fleet.freeze(router);
        fleet.runUntil(fleet.now() + durationMicros);
        fleet.thaw(router);
      }
    },
    CUT_LINK {
      @Override
      void run(CrashingFleet fleet, int router, long durationMicros) {
        fleet.delayBreaks(router, durationMicros);
        fleet.runUntil(fleet.now() + durationMicros);
        fleet.delayBreaks(router, 0);
      }
    };

    abstract void run(CrashingFleet fleet, int router, long durationMicros);
  }

  /** Returns a disturbance, a kind, a number of servers, and times in milliseconds. */
  static Stream<Arguments> disturbances() {
    return Stream.of(Disturbance.values())
        .flatMap(
            disturbance ->
                Stream.of(Kind.RESUMABLE_STREAM, Kind.STREAM)
                    .flatMap(
                        kind ->
                            Stream.of(
                                Arguments.of(disturbance, kind, 4, 5L, 4_000L),
                                Arguments.of(disturbance, kind, 8, 40L, 1_400L),
                                Arguments.of(disturbance, kind, 12, 40L, 4_000L),
                                Arguments.of(disturbance, kind, 12, 75L, 8_000L))));
  }

  // Guards against a router that sees late that a server has crashed taking the time until then
  // for a sign that the server survived the request, and so ending the quarantine everywhere.
  @ParameterizedTest
  @MethodSource("disturbances")
  void aCrashThatIsSeenLateClearsNoDeadlyRequest(
      Disturbance disturbance, Kind kind, int servers, long afterBeginMillis, long forMillis) {
    CrashingFleet fleet = new CrashingFleet(4, servers, servers, servers + afterBeginMillis);
    fleet.deadlyParts.add(DEADLY);
    long start = fleet.now();
    long end = start + 40 * SECOND;
    fleet.submitSoundEvery(30 * MILLI, end);
    for (int router = 1; router <= 2; router++) {
      fleet.runUntil(start + (5 + router) * SECOND);
      fleet.submitCopy(router, Kind.STREAM, DEADLY);
    }
    fleet.runUntil(start + 8 * SECOND);
    fleet.submitCopy(3, Kind.STREAM, DEADLY);
    long copy = fleet.submitCopy(0, kind, DEADLY);
    while (!fleet.hasBegun(copy)) {
      fleet.runUntil(fleet.now() + MILLI);
    }
    fleet.runUntil(fleet.now() + afterBeginMillis * MILLI);
    disturbance.run(fleet, 0, forMillis * MILLI);
    fleet.runUntil(fleet.now() + 200 * MILLI);
    long seenMicros = fleet.now();
    assertThat(fleet.crashesBy(DEADLY)).isAtLeast(3);
    fleet.submitCopiesEvery(500 * MILLI, end, kind, DEADLY);
    fleet.runUntil(end);

    assertThat(fleet.arrivalsAfter(DEADLY, seenMicros)).isEqualTo(0);
    assertThat(fleet.begunShare(seenMicros + CONTACT_MICROS, end - SECOND)).isAtLeast(0.9);
  }
}
