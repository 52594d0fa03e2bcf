package org.shallothook.state.booking;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.shallothook.state.log.LogRecord;

final class ClaimTableTest {
  private static final ServiceOutcome OUTCOME = ServiceOutcome.of(200, "text/plain", "a b\n%=");

  private final ClaimTable table = new ClaimTable();

  private void fold(long offset, ClaimLine... lines) {
    String payload =
        List.of(lines).stream().map(ClaimLineText::write).collect(Collectors.joining("\n"));
    table.fold(new LogRecord(offset, 1_000 + offset, payload));
  }

  static List<ClaimLine> lines() {
    ClaimEntry entry = new ClaimEntry("s", "d", "c", 4, 5, true, Set.of(), Optional.of(OUTCOME));
    ClaimEntry free = new ClaimEntry("s", "", "c", 4, 5, false, Set.of("c", "e"), Optional.empty());
    return List.of(
        new ClaimLine.Claim("team|service|k é", "d", "c/1/2"),
        new ClaimLine.Finished("s", "c", OUTCOME),
        new ClaimLine.Finished("s", "c", new ServiceOutcome(204, "", Optional.empty())),
        new ClaimLine.Released("s", "c"),
        new ClaimLine.Carried(entry),
        new ClaimLine.Carried(free),
        new ClaimLine.Covered(7, 8));
  }

  @ParameterizedTest
  @MethodSource("lines")
  void lineRoundTripsThroughText(ClaimLine line) {
    assertThat(ClaimLineText.read(ClaimLineText.write(line)).lines()).containsExactly(line);
  }

  @Test
  void firstClaimByOffsetHoldsTheScope() {
    fold(0, new ClaimLine.Claim("s", "d", "c1"));
    fold(1, new ClaimLine.Claim("s", "d", "c2"), new ClaimLine.Finished("s", "c2", OUTCOME));
    ClaimEntry entry = table.entry("s").orElseThrow();
    assertThat(entry.claim()).isEqualTo("c1");
    assertThat(entry.offset()).isEqualTo(0);
    assertThat(entry.outcome()).isEmpty();
  }

  @Test
  void releasedClaimFreesTheScopeAndNeverHoldsItAgain() {
    fold(0, new ClaimLine.Claim("s", "d", "c1"));
    fold(1, new ClaimLine.Released("s", "c1"));
    fold(2, new ClaimLine.Claim("s", "d", "c1"));
    assertThat(table.entry("s").orElseThrow().isHeld()).isFalse();
    fold(3, new ClaimLine.Claim("s", "d", "c2"));
    assertThat(table.entry("s").orElseThrow().claim()).isEqualTo("c2");
  }

  @Test
  void claimAppendedAfterItsReleaseHasNoEffect() {
    fold(0, new ClaimLine.Released("s", "c1"));
    fold(1, new ClaimLine.Claim("s", "d", "c1"));
    assertThat(table.entry("s").orElseThrow().isHeld()).isFalse();
  }

  @Test
  void finishedClaimCannotBeReleased() {
    fold(0, new ClaimLine.Claim("s", "d", "c1"), new ClaimLine.Finished("s", "c1", OUTCOME));
    fold(1, new ClaimLine.Released("s", "c1"), new ClaimLine.Claim("s", "d", "c2"));
    assertThat(table.entry("s").orElseThrow().outcome()).hasValue(OUTCOME);
  }

  @Test
  void carriedEntryReplacesLaterClaimsReadBeforeIt() {
    ClaimEntry carried = new ClaimEntry("s", "d", "c0", 2, 5, true, Set.of(), Optional.empty());
    table.startAt(10);
    fold(10, new ClaimLine.Claim("s", "d", "c1"));
    fold(11, new ClaimLine.Carried(carried), new ClaimLine.Covered(10, 3));
    assertThat(table.entry("s")).hasValue(carried);
    assertThat(table.coveredSinceMicros()).isEqualTo(3);
  }

  @Test
  void coverageOfRecordsThatWereNotReadIsIgnored() {
    table.startAt(10);
    fold(10, new ClaimLine.Covered(9, 3));
    assertThat(table.coveredSinceMicros()).isEqualTo(1_010);
  }

  @Test
  void malformedLinesAreSkippedAndCounted() {
    table.fold(new LogRecord(0, 0, "nonsense\nclaim s d\nclaim s d c1"));
    assertThat(table.malformedLines()).isEqualTo(2);
    assertThat(table.entry("s")).isPresent();
  }
}
