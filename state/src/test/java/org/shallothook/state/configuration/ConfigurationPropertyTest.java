package org.shallothook.state.configuration;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import org.shallothook.state.log.LogRecord;

/**
 * No log record or template makes parsing throw, and every process folds the same records to the
 * same state.
 */
final class ConfigurationPropertyTest {
  private static final String[] TEAMS = {"a", "b", "c"};

  @Property(seed = "81", tries = 2_000)
  void noTextMakesParsingATemplateThrow(@ForAll String text) {
    assertThat(TemplateParser.parse(text)).isNotNull();
  }

  @Property(seed = "82", tries = 3_000)
  void noChangedCharacterMakesParsingATemplateThrow(@ForAll int place, @ForAll char value) {
    assertThat(TemplateParser.parse(changed(wholeTemplate(), place, value))).isNotNull();
  }

  @Property(seed = "83", tries = 1_000)
  void noTruncationMakesParsingATemplateThrow(@ForAll int place) {
    String whole = wholeTemplate();

    assertThat(TemplateParser.parse(whole.substring(0, Math.floorMod(place, whole.length()))))
        .isNotNull();
  }

  @Property(seed = "84", tries = 2_000)
  void noChangedCharacterMakesReadingARecordThrow(@ForAll int place, @ForAll char value) {
    String payload = Templates.change(3, "c", 2, "a", wholeTemplate()).payload();

    assertThat(ConfigurationRecordText.read(changed(payload, place, value))).isNotNull();
  }

  @Property(seed = "85", tries = 400)
  void everyHistoryFoldsToTheSameStateHoweverItIsPaged(
      @ForAll("payloads") List<String> payloads, @ForAll("pages") List<Integer> pages) {
    List<LogRecord> records = new ArrayList<>();
    payloads.forEach(
        payload -> records.add(new LogRecord(records.size(), records.size(), payload)));
    ConfigurationLog whole = new ConfigurationLog();
    whole.apply(0, records);
    ConfigurationLog paged = new ConfigurationLog();
    int from = 0;
    int page = 0;
    while (from < records.size()) {
      int to = Math.min(records.size(), from + pages.get(page++ % pages.size()));
      // Pages may overlap: each begins with the last record of the previous page.
      paged.apply(0, records.subList(Math.max(0, from - 1), to));
      from = to;
    }

    assertThat(paged.state()).isEqualTo(whole.state());
    assertThat(paged.history()).isEqualTo(whole.history());
    assertThat(whole.nextOffset()).isEqualTo(records.size());
  }

  @Property(seed = "86", tries = 400)
  void snapshotRestoresTheStateItWasTakenFrom(@ForAll("payloads") List<String> payloads) {
    ConfigurationState state = ConfigurationState.EMPTY;
    for (int offset = 0; offset < payloads.size(); offset++) {
      state = state.fold(new LogRecord(offset, offset, payloads.get(offset))).state();
    }
    List<ConfigurationRecord.SnapshotPart> parts = state.snapshot();
    Optional<ConfigurationState> restored =
        parts.isEmpty()
            ? Optional.of(state)
            : ConfigurationState.ofSnapshot(state.effectiveOffset(), parts);

    assertThat(restored.orElseThrow().allTeams()).isEqualTo(state.allTeams());
    assertThat(restored.orElseThrow().effectiveOffset()).isEqualTo(state.effectiveOffset());
  }

  @Provide
  Arbitrary<List<String>> payloads() {
    Arbitrary<Integer> numbers = Arbitraries.integers().between(0, 5);
    Arbitrary<String> changes =
        Combinators.combine(numbers, numbers, numbers, Arbitraries.of(TEAMS))
            .as(
                (change, base, version, team) ->
                    Templates.change(
                            0,
                            "change-" + change,
                            base,
                            team,
                            version == 0
                                ? null
                                : Templates.source(team, "" + (version % 4), "v" + version))
                        .payload());
    Arbitrary<String> anything = Arbitraries.strings().ofMaxLength(40);
    return Arbitraries.frequencyOf(Tuple.of(5, changes), Tuple.of(1, anything))
        .list()
        .ofMaxSize(25);
  }

  @Provide
  Arbitrary<List<Integer>> pages() {
    return Arbitraries.integers().between(1, 6).list().ofMinSize(1).ofMaxSize(5);
  }

  private static String changed(String text, int place, char value) {
    StringBuilder changed = new StringBuilder(text);
    changed.setCharAt(Math.floorMod(place, text.length()), value);
    return changed.toString();
  }

  private static String wholeTemplate() {
    return Templates.source("a", "1", "v1")
        + "priority = ordinary\n[limits]\nmaximum-output-tokens = 20\n[rulebook]\ntext = Rules.\n"
        + "[tenant letters]\ntext = Letters.\n[service rota]\nrepeatable-paths = availability\n"
        + "checks-fencing = false\n";
  }
}
