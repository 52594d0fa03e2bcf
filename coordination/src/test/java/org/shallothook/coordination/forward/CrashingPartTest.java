package org.shallothook.coordination.forward;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.shallothook.coordination.forward.CrashingFleet.MILLI;
import static org.shallothook.coordination.forward.CrashingFleet.SECOND;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Covers parts of prompts that crash each server that begins an answer on them. */
final class CrashingPartTest {
  /** Time that a router may take to learn what others know, by the platform's bounds. */
  private static final long CONTACT_MICROS = 3 * SECOND;

  private static final int ALLOWED_ARRIVALS = 3;
  private static final String DEADLY = "deadly";

  // Guards against requests that differ in all but one deadly part crashing server after server.
  @ParameterizedTest
  @CsvSource({"1, 4", "2, 4", "3, 4", "4, 1", "5, 2", "6, 12"})
  void requestsThatShareADeadlyPartStopReachingServers(long seed, int routers) {
    CrashingFleet fleet = new CrashingFleet(routers, 8, seed);
    fleet.deadlyParts.add(DEADLY);
    long start = fleet.now();
    long end = start + 40 * SECOND;
    fleet.submitSoundEvery(30 * MILLI, end);
    fleet.runUntil(start + 5 * SECOND);
    fleet.submitEvery(900 * MILLI, end, List.of(DEADLY));
    fleet.runUntil(end);

    assertThat(fleet.crashTimes.size()).isAtLeast(1);
    long decidedAt =
        fleet.crashTimes.get(Math.min(4, fleet.crashTimes.size() - 1)) + CONTACT_MICROS;
    assertWithMessage("arrivals, of %s crashes", fleet.crashTimes.size())
        .that(fleet.arrivalsAfter(DEADLY, decidedAt))
        .isAtMost(ALLOWED_ARRIVALS);
    assertThat(fleet.begunShare(decidedAt + CONTACT_MICROS, end - SECOND)).isAtLeast(0.9);
    assertThat(fleet.wronglyRefused()).isEqualTo(0);
  }
}
