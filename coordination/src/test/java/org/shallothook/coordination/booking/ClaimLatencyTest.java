package org.shallothook.coordination.booking;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Latency of claims and rate of appends to a log that handles 400 appends a second: with claims
 * batched into records (64 partitions), and with so many partitions that a record rarely holds more
 * than one claim (4096).
 */
final class ClaimLatencyTest {
  private static final int SIDECARS = 20;
  private static final long SECOND_MICROS = 1_000_000;
  private static final long RUN_MICROS = 20 * SECOND_MICROS;
  private static final long TIMEOUT_MICROS = 10 * SECOND_MICROS;
  private static final long HOUR_MICROS = 3_600 * SECOND_MICROS;

  @ParameterizedTest
  @CsvSource({
    "64, 300000, 10, 400",
    "64, 300000, 50, 400",
    "64, 300000, 100, 400",
    "64, 300000, 210, 400",
    "4096, 1, 10, 50",
    "4096, 1, 50, 50",
    "4096, 1, 100, 50",
    "4096, 1, 210, 600",
  })
  void latencyStaysWithinItsBound(
      int partitions, long intervalMicros, int bookingsPerSecond, long boundMillis) {
    ClaimOptions options =
        new ClaimOptions(
            partitions, HOUR_MICROS, HOUR_MICROS / 12, 24 * HOUR_MICROS, intervalMicros);
    SplittableRandom random = new SplittableRandom(7);
    BookingFleet fleet = new BookingFleet(random, SIDECARS, options);
    fleet.log.appendMicros = 2_500;
    int bookings = (int) (bookingsPerSecond * RUN_MICROS / SECOND_MICROS);
    for (int i = 0; i < bookings; i++) {
      String key = "key-" + i;
      fleet.time.schedule(
          random.nextLong(RUN_MICROS),
          () ->
              fleet.book(fleet.nodes.get(random.nextInt(SIDECARS)), key, "cloth", TIMEOUT_MICROS));
    }
    fleet.time.runUntil(fleet.time.now() + RUN_MICROS);
    double appendsPerSecond = fleet.log.appends("claims") * 1e6 / RUN_MICROS;
    List<Long> sorted = fleet.claimMicros.stream().sorted().toList();
    long median = sorted.get(sorted.size() / 2) / 1_000;
    long highest = sorted.get(sorted.size() * 99 / 100) / 1_000;
    System.out.printf(
        "MEASURE partitions %d, bookings/s %d: claimed %d of %d, p50 %d ms, p99 %d ms,"
            + " appends/s %.0f%n",
        partitions, bookingsPerSecond, sorted.size(), bookings, median, highest, appendsPerSecond);
    assertThat(highest).isAtMost(boundMillis);
  }
}
