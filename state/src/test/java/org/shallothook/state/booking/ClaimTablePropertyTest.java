package org.shallothook.state.booking;

import static com.google.common.truth.Truth.assertThat;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.shallothook.state.log.LogRecord;

/**
 * No content of a claims partition makes the table throw, and a scope stays with its first claim.
 */
final class ClaimTablePropertyTest {
  private static final ServiceOutcome OUTCOME = ServiceOutcome.of(200, "text/plain", "done");

  @Property(seed = "87", tries = 2_000)
  void noPayloadMakesFoldingThrow(@ForAll String payload) {
    ClaimTable table = new ClaimTable();
    table.fold(new LogRecord(0, 5, payload));

    assertThat(table.nextOffset()).isEqualTo(1);
  }

  @Property(seed = "88", tries = 4_000)
  void noChangedCharacterMakesFoldingThrow(
      @ForAll("lines") ClaimLine line, @ForAll int place, @ForAll char value) {
    StringBuilder payload = new StringBuilder(ClaimLineText.write(line));
    payload.setCharAt(Math.floorMod(place, payload.length()), value);
    ClaimTable table = new ClaimTable();
    table.fold(new LogRecord(0, 5, payload.toString()));

    assertThat(table.nextOffset()).isEqualTo(1);
  }

  @Property(seed = "89", tries = 1_000)
  void everyLineRoundTripsThroughText(@ForAll("lines") ClaimLine line) {
    assertThat(ClaimLineText.read(ClaimLineText.write(line)).lines()).containsExactly(line);
  }

  @Property(seed = "90", tries = 1_000)
  void scopeIsHeldByItsFirstClaimUntilThatIsReleased(@ForAll("histories") List<ClaimLine> history) {
    ClaimTable table = new ClaimTable();
    Map<String, String> holders = new HashMap<>();
    for (int offset = 0; offset < history.size(); offset++) {
      ClaimLine line = history.get(offset);
      table.fold(new LogRecord(offset, 1_000 + offset, ClaimLineText.write(line)));
      if (line instanceof ClaimLine.Released released) {
        holders.remove(released.scope(), released.claim());
      }
      table.entries().stream()
          .filter(ClaimEntry::isHeld)
          .forEach(
              entry -> {
                String holder = holders.computeIfAbsent(entry.scope(), scope -> entry.claim());
                assertThat(entry.claim()).isEqualTo(holder);
              });
    }
  }

  @Property(seed = "91", tries = 500)
  void linesOfOneRecordFoldWithoutFaults(@ForAll("histories") List<ClaimLine> history) {
    ClaimTable together = new ClaimTable();
    together.fold(
        new LogRecord(
            0, 5, history.stream().map(ClaimLineText::write).collect(Collectors.joining("\n"))));

    assertThat(together.malformedLines()).isEqualTo(0);
    assertThat(together.nextOffset()).isEqualTo(1);
  }

  @Provide
  Arbitrary<ClaimLine> lines() {
    Arbitrary<String> texts = Arbitraries.strings().ofMinLength(1).ofMaxLength(12);
    return Combinators.combine(texts, texts, Arbitraries.integers().between(0, 3))
        .as(
            (scope, claim, kind) ->
                switch (kind) {
                  case 0 -> new ClaimLine.Claim(scope, "d", claim);
                  case 1 -> new ClaimLine.Finished(scope, claim, OUTCOME);
                  case 2 -> new ClaimLine.Released(scope, claim);
                  default ->
                      new ClaimLine.Finished(
                          scope, claim, new ServiceOutcome(204, claim, Optional.empty()));
                });
  }

  @Provide
  Arbitrary<List<ClaimLine>> histories() {
    Arbitrary<String> scopes = Arbitraries.of("s1", "s2");
    Arbitrary<String> claims = Arbitraries.of("c1", "c2", "c3", "c4");
    return Combinators.combine(scopes, claims, Arbitraries.integers().between(0, 2))
        .as(
            (scope, claim, kind) ->
                switch (kind) {
                  case 0 -> (ClaimLine) new ClaimLine.Claim(scope, "d", claim);
                  case 1 -> new ClaimLine.Finished(scope, claim, OUTCOME);
                  default -> new ClaimLine.Released(scope, claim);
                })
        .list()
        .ofMinSize(1)
        .ofMaxSize(30);
  }
}
