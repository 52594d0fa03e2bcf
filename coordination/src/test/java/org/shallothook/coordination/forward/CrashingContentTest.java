package org.shallothook.coordination.forward;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.shallothook.coordination.forward.CrashingFleet.MILLI;
import static org.shallothook.coordination.forward.CrashingFleet.SECOND;

import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

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
}
