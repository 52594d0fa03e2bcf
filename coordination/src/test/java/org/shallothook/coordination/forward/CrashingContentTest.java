package org.shallothook.coordination.forward;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.shallothook.coordination.forward.CrashingFleet.MILLI;
import static org.shallothook.coordination.forward.CrashingFleet.SECOND;

import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Covers calls without a prompt that crash each server that runs them. */
final class CrashingContentTest {
  /** Time that a router may take to learn what others know, by the platform's bounds. */
  private static final long CONTACT_MICROS = 3 * SECOND;

  private static final int ALLOWED_ARRIVALS = 3;
  private static final int SEEDS = 12;
  private static final String DEADLY = "deadly";

  /** Returns a seed, the time between two copies and the time of a restart, in milliseconds. */
  static Stream<Arguments> outages() {
    return IntStream.rangeClosed(1, SEEDS)
        .boxed()
        .flatMap(
            seed ->
                Stream.of(15L, 60L, 250L)
                    .flatMap(
                        copyMillis ->
                            Stream.of(1_000L, 3_000L)
                                .map(restart -> Arguments.of(seed, copyMillis, restart))));
  }

  // Guards against a call that brings down all servers of a service within moments, again and
  // again, as its crashes are taken for one outage.
  @ParameterizedTest
  @MethodSource("outages")
  void aCallThatCrashesAllServersWithinMomentsStopsReachingServers(
      long seed, long copyMillis, long restartMillis) {
    CrashingFleet fleet = new CrashingFleet(4, 0, 3, seed);
    fleet.restartMicros = restartMillis * MILLI;
    fleet.deadlyParts.add(DEADLY);
    long start = fleet.now();
    long end = start + 30 * SECOND;
    fleet.submitDistinctCallsEvery(40 * MILLI, end);
    fleet.runUntil(start + 5 * SECOND);
    fleet.submitCallsEvery(copyMillis * MILLI, end, DEADLY);
    fleet.runUntil(end);

    long thirdCrash = fleet.crashTimeBy(DEADLY, 3).orElseThrow();
    assertWithMessage("copies after the third of %s crashes", fleet.crashTimes.size())
        .that(fleet.arrivalsAfter(DEADLY, thirdCrash + CONTACT_MICROS))
        .isAtMost(ALLOWED_ARRIVALS);
    assertThat(fleet.begunShare(thirdCrash + 2 * CONTACT_MICROS, end - SECOND)).isAtLeast(0.9);
  }

  // Guards against calls that are in use by many callers being refused after outages of a service.
  @ParameterizedTest
  @CsvSource({
    "1, 3, false",
    "2, 3, true",
    "3, 12, false",
    "4, 12, true",
    "5, 6, false",
    "6, 6, true"
  })
  void outagesOfAWholeServiceQuarantineNoCall(long seed, int servers, boolean doRoutersRestart) {
    CrashingFleet fleet = new CrashingFleet(4, 0, servers, seed);
    fleet.restartMicros = SECOND;
    long start = fleet.now();
    long end = start + 40 * SECOND;
    fleet.submitDistinctCallsEvery(40 * MILLI, end);
    fleet.submitCallsEvery(6 * MILLI, end, "timetable");
    fleet.submitCallsEvery(60 * MILLI, end, "notice");
    for (int outage = 1; outage <= 8; outage++) {
      fleet.runUntil(start + 4L * outage * SECOND);
      if (doRoutersRestart) {
        fleet.restartAll();
        fleet.runUntil(fleet.now() + 150 * MILLI);
      }
      fleet.crashServers(1);
    }
    fleet.runUntil(end);
    assertThat(fleet.wronglyRefused()).isEqualTo(0);
    assertThat(fleet.begunShare(end - 5 * SECOND, end - SECOND)).isAtLeast(0.95);
  }

  // Guards against an answer of the past clearing a call that has become deadly since.
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void aCallThatWorkedBeforeItBecameDeadlyStopsReachingServers(long seed) {
    CrashingFleet fleet = new CrashingFleet(4, 0, 3, seed);
    long start = fleet.now();
    long end = start + 30 * SECOND;
    fleet.submitDistinctCallsEvery(40 * MILLI, end);
    fleet.submitCallsEvery(100 * MILLI, end, DEADLY);
    fleet.runUntil(start + 8 * SECOND);
    fleet.deadlyParts.add(DEADLY);
    fleet.runUntil(end);
    long thirdCrash = fleet.crashTimeBy(DEADLY, 3).orElseThrow();
    assertThat(fleet.arrivalsAfter(DEADLY, thirdCrash + CONTACT_MICROS)).isAtMost(ALLOWED_ARRIVALS);
    assertThat(fleet.begunShare(thirdCrash + 2 * CONTACT_MICROS, end - SECOND)).isAtLeast(0.9);
  }

  // Guards against evidence that is split between routers, or lost with them, deciding too late.
  @ParameterizedTest
  @CsvSource({
    "1, 60, false", "2, 60, false", "3, 250, false", "4, 250, false", "5, 700, false",
    "1, 60, true", "2, 60, true", "3, 250, true", "4, 250, true", "5, 700, true"
  })
  void aRouterThatIsCutOffOrRestartedDoesNotLetTheCallThrough(
      long seed, long copyMillis, boolean isRestart) {
    CrashingFleet fleet = new CrashingFleet(4, 0, 3, seed);
    fleet.deadlyParts.add(DEADLY);
    long start = fleet.now();
    long end = start + 30 * SECOND;
    fleet.submitDistinctCallsEvery(40 * MILLI, end);
    fleet.runUntil(start + 6 * SECOND);
    fleet.setConnected(0, isRestart);
    fleet.submitCallsEvery(copyMillis * MILLI, end, DEADLY);
    fleet.runUntil(fleet.now() + 2 * SECOND);
    if (isRestart) {
      fleet.restartAll();
    } else {
      fleet.setConnected(0, true);
    }
    long backMicros = fleet.now();
    fleet.runUntil(end);
    long thirdCrash = fleet.crashTimeBy(DEADLY, 3).orElseThrow();
    long decidedAt = Math.max(thirdCrash, backMicros) + CONTACT_MICROS;
    assertThat(fleet.arrivalsAfter(DEADLY, decidedAt)).isAtMost(ALLOWED_ARRIVALS);
  }

  // Guards against sound calls being refused that were at servers which a deadly call brought down.
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
  void soundCallsBesideADeadlyOneAreNotQuarantined(long seed) {
    CrashingFleet fleet = new CrashingFleet(4, 0, 3, seed);
    fleet.deadlyParts.add(DEADLY);
    long start = fleet.now();
    long end = start + 30 * SECOND;
    fleet.submitDistinctCallsEvery(15 * MILLI, end);
    fleet.submitCallsEvery(20 * MILLI, end, "timetable");
    fleet.runUntil(start + 6 * SECOND);
    fleet.submitCallsEvery(60 * MILLI, end, DEADLY);
    fleet.runUntil(end);
    assertThat(fleet.wronglyRefused()).isEqualTo(0);
  }
}
