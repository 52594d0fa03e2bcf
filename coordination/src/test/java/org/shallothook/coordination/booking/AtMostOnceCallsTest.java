package org.shallothook.coordination.booking;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.shallothook.state.request.Outcome;
import org.shallothook.state.request.RefusalReason;

final class AtMostOnceCallsTest {
  private static final long SECOND_MICROS = 1_000_000;
  private static final ClaimOptions OPTIONS =
      new ClaimOptions(
          2, 3_600 * SECOND_MICROS, 300 * SECOND_MICROS, 86_400 * SECOND_MICROS, 100_000);

  private BookingFleet fleet = new BookingFleet(new SplittableRandom(3), 3, OPTIONS);

  private BookingFleet.Answer book(int sidecar, String key, String payload) {
    return book(sidecar, key, payload, 3 * SECOND_MICROS);
  }

  private BookingFleet.Answer book(int sidecar, String key, String payload, long timeoutMicros) {
    int before = fleet.answers.size();
    fleet.book(fleet.nodes.get(sidecar), key, payload, timeoutMicros);
    for (int i = 0; i < 200 && fleet.answers.size() == before; i++) {
      run(50_000);
    }
    return fleet.answers.get(before);
  }

  private void run(long micros) {
    fleet.time.runUntil(fleet.time.now() + micros);
  }

  @Test
  void aRepeatThroughAnotherSidecarGetsTheFirstResponse() {
    BookingFleet.Answer first = book(0, "k", "cloth");
    run(2 * SECOND_MICROS);
    BookingFleet.Answer repeat = book(2, "k", "cloth");
    assertThat(first.outcome()).isEqualTo(Outcome.DONE);
    assertThat(repeat.body()).isEqualTo(first.body());
    assertThat(fleet.executions).containsExactly("k", 1);
  }

  @Test
  void aKeyWithAnotherPayloadIsRefused() {
    book(0, "k", "cloth");
    BookingFleet.Answer other = book(1, "k", "candles");
    assertThat(other.reason()).hasValue(RefusalReason.IDEMPOTENCY_KEY_REUSED);
    assertThat(fleet.executions).containsExactly("k", 1);
  }

  @Test
  void aKeyThatProvesToBeOlderThanTheWindowIsRefused() {
    long old = (fleet.time.now() - OPTIONS.windowMicros() - 1) / 1_000;
    String key = "%08x-%04x-7000-8000-000000000000".formatted(old >>> 16, old & 0xffff);
    assertThat(book(0, key, "cloth").reason()).hasValue(RefusalReason.IDEMPOTENCY_KEY_EXPIRED);
    long recent = fleet.time.now() / 1_000;
    key = "%08x-%04x-7000-8000-000000000000".formatted(recent >>> 16, recent & 0xffff);
    assertThat(book(0, key, "cloth").outcome()).isEqualTo(Outcome.DONE);
  }

  @Test
  void aCallWhoseClaimantCrashedIsNeverMadeAgain() {
    fleet.book(fleet.nodes.get(0), "k", "cloth", 3 * SECOND_MICROS);
    while (fleet.claimMicros.isEmpty()) {
      run(1_000);
    }
    fleet.nodes.get(0).restart();
    BookingFleet.Answer repeat = book(1, "k", "cloth", 20 * SECOND_MICROS);
    assertThat(repeat.outcome()).isEqualTo(Outcome.UNKNOWN);
    assertThat(repeat.reason()).hasValue(RefusalReason.CLAIM_HELD_ELSEWHERE);
    assertThat(fleet.executions).containsExactly("k", 1);
  }

  @Test
  void aCallThatDidNotReachTheServiceMayBeMadeAgain() {
    fleet.unreachableProbability = 1;
    assertThat(book(0, "k", "cloth").outcome()).isEqualTo(Outcome.NOT_RUN);
    fleet.unreachableProbability = 0;
    run(SECOND_MICROS);
    assertThat(book(1, "k", "cloth").outcome()).isEqualTo(Outcome.DONE);
    assertThat(fleet.executions).containsExactly("k", 1);
  }

  @Test
  void whileTheLogIsDownACallIsRefusedAsNotRunAndItsKeyStaysFree() {
    for (int i = 0; i < 6; i++) {
      book(0, "warm-" + i, "cloth");
    }
    fleet.log.downUntilMicros = Long.MAX_VALUE;
    BookingFleet.Answer refused = book(0, "k", "cloth");
    assertThat(refused.reason()).hasValue(RefusalReason.LOG_UNAVAILABLE);
    assertThat(refused.outcome()).isEqualTo(Outcome.NOT_RUN);
    fleet.log.downUntilMicros = 0;
    run(3 * SECOND_MICROS);
    assertThat(book(1, "k", "cloth").outcome()).isEqualTo(Outcome.DONE);
  }

  @Test
  void aKnownResponseIsReturnedWhileTheLogIsDown() {
    BookingFleet.Answer first = book(0, "k", "cloth");
    run(2 * SECOND_MICROS);
    fleet.log.downUntilMicros = Long.MAX_VALUE;
    assertThat(book(1, "k", "cloth").body()).isEqualTo(first.body());
  }

  @Test
  void aClaimantPausedPastTheDeadlineMakesNoCall() {
    fleet.book(fleet.nodes.get(0), "k", "cloth", SECOND_MICROS);
    run(1_500);
    fleet.nodes.get(0).pause(4 * SECOND_MICROS);
    run(8 * SECOND_MICROS);
    assertThat(fleet.executions).isEmpty();
    assertThat(fleet.answers.get(0).outcome()).isNotEqualTo(Outcome.DONE);
    assertThat(book(1, "k", "cloth").outcome()).isEqualTo(Outcome.DONE);
  }

  @ParameterizedTest
  @ValueSource(longs = {15, 25, 55})
  void claimsOutliveTheRetentionOfTheLog(long afterSeconds) {
    ClaimOptions options =
        new ClaimOptions(2, 60 * SECOND_MICROS, SECOND_MICROS, 20 * SECOND_MICROS, 100_000);
    fleet = new BookingFleet(new SplittableRandom(5), 3, options);
    fleet.log.retentionMicros = options.retentionMicros();
    BookingFleet.Answer first = book(0, "k", "cloth");
    run(afterSeconds * SECOND_MICROS);
    fleet.nodes.forEach(BookingFleet.Node::restart);
    run(SECOND_MICROS);
    BookingFleet.Answer repeat = book(1, "k", "cloth");
    assertThat(repeat.body()).isEqualTo(first.body());
    assertThat(fleet.executions).containsExactly("k", 1);
  }

  @Test
  void aKeyWhoseClaimMayHaveExpiredIsNotRunUnlessItProvesItsAge() {
    ClaimOptions options =
        new ClaimOptions(1, 600 * SECOND_MICROS, SECOND_MICROS, 20 * SECOND_MICROS, 100_000);
    fleet = new BookingFleet(new SplittableRandom(5), 1, options);
    fleet.log.retentionMicros = options.retentionMicros();
    book(0, "k", "cloth");
    fleet.nodes.get(0).pause(100 * SECOND_MICROS);
    run(99 * SECOND_MICROS);
    fleet.nodes.get(0).restart();
    run(SECOND_MICROS);
    assertThat(book(0, "k", "cloth").outcome()).isEqualTo(Outcome.UNKNOWN);
    long now = fleet.time.now() / 1_000 + 2_000;
    run(3 * SECOND_MICROS);
    String key = "%08x-%04x-7000-8000-000000000000".formatted(now >>> 16, now & 0xffff);
    assertThat(book(0, key, "cloth").outcome()).isEqualTo(Outcome.DONE);
    assertThat(Optional.of(fleet.executions.get("k"))).hasValue(1);
  }
}
