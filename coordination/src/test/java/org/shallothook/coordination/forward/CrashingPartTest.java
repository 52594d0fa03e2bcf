package org.shallothook.coordination.forward;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;
import static org.shallothook.coordination.forward.CrashingFleet.MILLI;
import static org.shallothook.coordination.forward.CrashingFleet.SECOND;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Covers parts of prompts that crash each server that begins an answer on them. */
final class CrashingPartTest {
  /** Time that a router may take to learn what others know, by the platform's bounds. */
  private static final long CONTACT_MICROS = 3 * SECOND;

  private static final int ALLOWED_ARRIVALS = 3;
  private static final String DEADLY = "deadly";
  private static final String OTHER_DEADLY = "other-deadly";

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

  // Guards against two deadly parts at the same time hiding each other.
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void twoDeadlyPartsAreBothFound(long seed) {
    CrashingFleet fleet = new CrashingFleet(4, 12, seed);
    fleet.deadlyParts.addAll(List.of(DEADLY, OTHER_DEADLY));
    long start = fleet.now();
    long end = start + 40 * SECOND;
    fleet.submitSoundEvery(30 * MILLI, end);
    fleet.submitEvery(1_500 * MILLI, end, List.of(DEADLY));
    fleet.submitEvery(1_500 * MILLI, end, List.of(OTHER_DEADLY));
    fleet.runUntil(end);
    for (String part : List.of(DEADLY, OTHER_DEADLY)) {
      long decidedAt = fleet.crashTimeBy(part, 5).orElse(start) + CONTACT_MICROS;
      assertThat(fleet.arrivalsAfter(part, decidedAt)).isAtMost(ALLOWED_ARRIVALS);
    }
    assertThat(fleet.wronglyRefused()).isEqualTo(0);
  }

  // Guards against routers that have just started, or were cut off, letting such requests through.
  @ParameterizedTest
  @CsvSource({"6, true", "7, true", "8, true", "9, true", "11, true", "3, false", "4, false"})
  void routersThatMissedTheCrashesLearnOfTheQuarantine(long seed, boolean isRestart) {
    CrashingFleet fleet = new CrashingFleet(4, 8, seed);
    fleet.deadlyParts.add(DEADLY);
    long start = fleet.now();
    long end = start + 40 * SECOND;
    fleet.submitSoundEvery(30 * MILLI, end);
    if (!isRestart) {
      fleet.setConnected(0, false);
    }
    fleet.submitEvery(700 * MILLI, end, List.of(DEADLY));
    fleet.runUntil(start + 15 * SECOND);
    if (isRestart) {
      fleet.restartAll();
    } else {
      fleet.setConnected(0, true);
    }
    fleet.runUntil(end);
    // A router that starts reads the store; one that was cut off has to hear from a peer.
    long knownAt = start + 15 * SECOND + (isRestart ? 0 : CONTACT_MICROS);
    assertThat(fleet.arrivalsAfter(DEADLY, knownAt)).isEqualTo(0);
    assertThat(fleet.begunShare(start + 20 * SECOND, end - SECOND)).isAtLeast(0.9);
  }

  // Guards against innocent requests being refused after crashes that no request has caused.
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void crashesThatNoRequestCausedQuarantineNothing(long seed) {
    CrashingFleet fleet = new CrashingFleet(4, 8, seed);
    long start = fleet.now();
    long end = start + 40 * SECOND;
    fleet.submitSoundEvery(30 * MILLI, end);
    for (int wave = 1; wave <= 6; wave++) {
      fleet.runUntil(start + 5L * wave * SECOND);
      fleet.crashServers(wave % 2 == 0 ? 1 : 0.4);
    }
    fleet.runUntil(end);
    assertThat(fleet.wronglyRefused()).isEqualTo(0);
    assertThat(fleet.begunShare(end - 5 * SECOND, end - SECOND)).isAtLeast(0.95);
  }

  // Guards against a sound part being refused because it was only seen next to the deadly one.
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5})
  void aPartThatAccompaniedTheDeadlyOneIsServedOnItsOwn(long seed) {
    CrashingFleet fleet = new CrashingFleet(4, 8, seed);
    fleet.deadlyParts.add(DEADLY);
    long start = fleet.now();
    long end = start + 40 * SECOND;
    fleet.submitSoundEvery(30 * MILLI, end);
    fleet.submitEvery(700 * MILLI, start + 15 * SECOND, List.of("companion", DEADLY));
    fleet.runUntil(start + 16 * SECOND);
    fleet.submitEvery(500 * MILLI, end, List.of("companion"));
    fleet.submitEvery(700 * MILLI, end, List.of("companion", DEADLY));
    fleet.runUntil(end);
    assertThat(fleet.begunShareOf("companion", start + 20 * SECOND, end - SECOND)).isAtLeast(0.9);
    assertThat(fleet.arrivalsAfter(DEADLY, start + 20 * SECOND)).isAtMost(ALLOWED_ARRIVALS);
  }

  // Guards against a part that worked before it became deadly keeping its servers crashing.
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3})
  void aPartThatBecomesDeadlyIsFound(long seed) {
    CrashingFleet fleet = new CrashingFleet(4, 12, seed);
    long start = fleet.now();
    long end = start + 40 * SECOND;
    fleet.submitSoundEvery(30 * MILLI, end);
    fleet.submitEvery(700 * MILLI, end, List.of(DEADLY));
    fleet.runUntil(start + 8 * SECOND);
    fleet.deadlyParts.add(DEADLY);
    fleet.runUntil(end);
    long decidedAt = fleet.crashTimes.get(4) + CONTACT_MICROS;
    assertThat(fleet.arrivalsAfter(DEADLY, decidedAt)).isAtMost(ALLOWED_ARRIVALS);
    assertThat(fleet.wronglyRefused()).isEqualTo(0);
  }

  // Guards against requests with a deadly part that come all at once, again and again, and whose
  // crashes are taken for one outage each time.
  @ParameterizedTest
  @CsvSource({"1, 4", "2, 6", "3, 8", "4, 8", "5, 12", "6, 12", "7, 6", "8, 8"})
  void burstsOfRequestsWithADeadlyPartStopReachingServers(long seed, int burst) {
    CrashingFleet fleet = new CrashingFleet(4, 12, seed);
    fleet.deadlyParts.add(DEADLY);
    long start = fleet.now();
    long end = start + 40 * SECOND;
    fleet.submitSoundEvery(30 * MILLI, end);
    for (int time = 6; time < 40; time += 4) {
      fleet.runUntil(start + time * SECOND);
      for (int request = 0; request < burst; request++) {
        fleet.submit("register-" + request, List.of(DEADLY));
      }
    }
    fleet.runUntil(end);
    fleet
        .crashTimeBy(DEADLY, 5)
        .ifPresent(
            fifth ->
                assertThat(fleet.arrivalsAfter(DEADLY, fifth + CONTACT_MICROS))
                    .isAtMost(ALLOWED_ARRIVALS));
    assertThat(fleet.wronglyRefused()).isEqualTo(0);
  }

  // Guards against a part that many callers have just begun to use being refused after an outage.
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4})
  void anOutageJustAfterAPartCameIntoUseDoesNotQuarantineIt(long seed) {
    CrashingFleet fleet = new CrashingFleet(4, 8, seed);
    long start = fleet.now();
    long end = start + 40 * SECOND;
    fleet.submitSoundEvery(30 * MILLI, end);
    for (int week = 1; week <= 6; week++) {
      fleet.runUntil(start + 6L * week * SECOND);
      fleet.submitEvery(10 * MILLI, fleet.now() + 4 * SECOND, List.of("week-" + week));
      fleet.runUntil(fleet.now() + 250 * MILLI);
      fleet.crashServers(1);
    }
    fleet.runUntil(end);
    assertThat(fleet.wronglyRefused()).isEqualTo(0);
  }
}
