package org.shallothook.coordination.booking;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.shallothook.state.request.Outcome;
import org.shallothook.state.request.RefusalReason;

/**
 * Runs random histories from seeds: bookings repeated through different sidecars, with pauses,
 * restarts, lost responses, outages of the log and outdated lists of instances. No key may be
 * executed twice, and a call reported as not run must not have run. The system property {@code
 * booking.histories} sets the number of histories.
 */
final class BookingHistoriesTest {
  private static final int HISTORIES = Integer.getInteger("booking.histories", 10_000);
  private static final int SIDECARS = 3;
  private static final int KEYS = 4;
  private static final int CALLS = 14;
  private static final int FAULTS = 6;
  private static final long BUSY_MICROS = 8_000_000;
  private static final long SETTLE_MICROS = 12_000_000;
  private static final long TIMEOUT_MICROS = 3_000_000;
  private static final ClaimOptions OPTIONS =
      new ClaimOptions(2, 3_600_000_000L, 300_000_000L, 86_400_000_000L, 100_000);

  private int notRunAfterOtherAttempt;
  private int notRunAfterOtherAttemptInOutage;
  private final Map<String, Integer> answerCounts = new TreeMap<>();

  @Test
  void noBookingRunsTwiceAndNoCallReportedAsNotRunHasRun() {
    for (long seed = 0; seed < HISTORIES; seed++) {
      BookingFleet fleet = runHistory(seed);
      check(seed, fleet);
      fleet.answers.forEach(answer -> answerCounts.merge(answerKind(answer), 1, Integer::sum));
    }
    System.out.println("booking histories " + HISTORIES + ": " + answerCounts);
    System.out.println(
        "not-run results of attempts whose key another attempt had executed: "
            + notRunAfterOtherAttempt
            + ", of them with the log unavailable: "
            + notRunAfterOtherAttemptInOutage);
  }

  private static String answerKind(BookingFleet.Answer answer) {
    return answer.outcome() + answer.reason().map(reason -> " " + reason.code()).orElse("");
  }

  private static BookingFleet runHistory(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    BookingFleet fleet = new BookingFleet(random, SIDECARS, OPTIONS);
    fleet.log.lostAnswers = 0.1;
    fleet.log.lateAppends = 0.05;
    fleet.lostResponseProbability = 0.05;
    fleet.unreachableProbability = 0.05;
    for (int i = 0; i < CALLS; i++) {
      String key = "key-" + random.nextInt(KEYS);
      String payload = random.nextInt(15) == 0 ? "other" : "cloth";
      BookingFleet.Node node = fleet.nodes.get(random.nextInt(SIDECARS));
      fleet.time.schedule(
          random.nextLong(BUSY_MICROS), () -> fleet.book(node, key, payload, TIMEOUT_MICROS));
    }
    for (int i = 0; i < FAULTS; i++) {
      fleet.time.schedule(random.nextLong(BUSY_MICROS), () -> injectFault(random, fleet));
    }
    long start = fleet.time.now();
    fleet.time.runUntil(start + BUSY_MICROS + SETTLE_MICROS);
    for (int i = 0; i < KEYS; i++) {
      fleet.book(fleet.nodes.get(random.nextInt(SIDECARS)), "key-" + i, "cloth", TIMEOUT_MICROS);
    }
    fleet.time.runUntil(start + BUSY_MICROS + 2 * SETTLE_MICROS);
    return fleet;
  }

  private static void injectFault(SplittableRandom random, BookingFleet fleet) {
    BookingFleet.Node node = fleet.nodes.get(random.nextInt(SIDECARS));
    switch (random.nextInt(4)) {
      case 0 -> node.restart();
      case 1 -> node.pause(random.nextLong(6_000_000));
      case 2 -> fleet.log.downUntilMicros = fleet.time.now() + random.nextLong(3_000_000);
      default -> {
        List<BookingFleet.Node> listed = List.of(node);
        node.calls.onInstances(fleet.listOf(listed));
        fleet.time.schedule(2_000_000, () -> node.calls.onInstances(fleet.listOf(fleet.nodes)));
      }
    }
  }

  private void check(long seed, BookingFleet fleet) {
    fleet.executions.forEach(
        (key, runs) -> assertWithMessage("seed %s, %s", seed, key).that(runs).isEqualTo(1));
    Map<String, String> bodies = new HashMap<>();
    for (BookingFleet.Answer answer : fleet.answers) {
      if (answer.outcome() == Outcome.DONE) {
        String first = bodies.putIfAbsent(answer.key(), answer.body());
        assertThat(first == null || first.equals(answer.body())).isTrue();
        assertThat(answer.body()).contains(answer.payload());
      }
      if (answer.outcome() == Outcome.NOT_RUN) {
        assertWithMessage("seed %s, %s", seed, answer)
            .that(fleet.attemptsRun)
            .doesNotContain(answer.attempt());
        notRunAfterOtherAttempt += answer.executions();
        notRunAfterOtherAttemptInOutage +=
            answer.reason().orElseThrow() == RefusalReason.LOG_UNAVAILABLE
                ? answer.executions()
                : 0;
      }
    }
  }
}
