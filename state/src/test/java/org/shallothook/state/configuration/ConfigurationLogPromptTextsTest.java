package org.shallothook.state.configuration;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.shallothook.state.log.LogRecord;

/** Copies without the texts of prompts serve records and snapshots like any other. */
final class ConfigurationTextsTest {
  private static final int TEAMS = 3;
  private static final String TEXT = "Whose turn is it? ".repeat(500);

  private final ConfigurationLog whole = new ConfigurationLog(true);
  private final ConfigurationLog abridged = new ConfigurationLog(false);
  private final List<LogRecord> records = new ArrayList<>();

  @BeforeEach
  void publish() {
    for (int team = 0; team < TEAMS; team++) {
      change("team-" + team, 0, TEXT + team);
    }
    change("team-0", TEAMS, "second text");
    change("team-0", 0, "too late");
    append("no record at all");
  }

  @Test
  void onlyTheTextsDiffer() {
    assertThat(abridged.state().team("team-1").orElseThrow().rulebook()).isEmpty();
    assertThat(whole.state().team("team-1").orElseThrow().rulebook()).isEqualTo(TEXT + "1");
    assertThat(abridged.state().versions()).isEqualTo(whole.state().versions());
    assertThat(abridged.history()).isEqualTo(whole.history());
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void recordsAreServedToTheCharacter(boolean holdsTexts) {
    assertThat((holdsTexts ? whole : abridged).recordsFrom(0)).isEqualTo(records);
  }

  @Test
  void snapshotsAreTheSame() {
    assertThat(abridged.state().snapshot()).isEqualTo(whole.state().snapshot());
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void newcomerIsBroughtUpByCopyWithoutTexts(boolean holdsTexts) {
    appendSnapshot();
    ConfigurationLog newcomer = new ConfigurationLog(holdsTexts);
    List<LogRecord> served = abridged.recordsFrom(0);
    newcomer.take(served.get(0).offset(), served);

    assertThat(served.get(0).offset()).isGreaterThan(0);
    assertThat(newcomer.state()).isEqualTo((holdsTexts ? whole : abridged).state());
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void textIsHeldOnceByRecordAndVersion(boolean isSnapshot) {
    if (isSnapshot) {
      appendSnapshot();
    }
    String held = abridged.state().version("team-1").flatMap(TemplateVersion::source).orElseThrow();
    LogRecord record = isSnapshot ? records.get(records.size() - 2) : records.get(1);

    RetainedRecord retained = RetainedRecord.of(record, Optional.of(held));

    assertThat(retained.source()).isSameInstanceAs(held);
    assertThat(retained.toLogRecord()).isEqualTo(record);
  }

  private void appendSnapshot() {
    whole.state().snapshot().forEach(part -> append(ConfigurationRecordText.write(part)));
  }

  private void change(String team, long base, String text) {
    String source =
        "[team]\nname = %s\nkey-sha256 = %064x\nmodel = m\nversion = 1\n[rulebook]\ntext = %s\n"
            .formatted(team, 1 + Integer.parseInt(team.substring(5)), text);
    append(
        ConfigurationRecordText.write(
            new ConfigurationRecord.Change(
                "change-" + records.size(), base, team, Optional.of(source))));
  }

  private void append(String payload) {
    LogRecord record = new LogRecord(records.size(), records.size(), payload);
    records.add(record);
    whole.take(0, List.of(record));
    abridged.take(0, List.of(record));
  }
}
