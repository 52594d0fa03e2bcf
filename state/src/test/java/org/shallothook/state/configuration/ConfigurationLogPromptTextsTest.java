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

/** Replicas that do not keep prompt texts serve the same records and snapshots as those that do. */
final class ConfigurationLogPromptTextsTest {
  private static final int TEAMS = 3;
  private static final String PROMPT_TEXT = "Whose turn is it? ".repeat(500);

  private final ConfigurationLog withTexts = new ConfigurationLog(true);
  private final ConfigurationLog withoutTexts = new ConfigurationLog(false);
  private final List<LogRecord> records = new ArrayList<>();

  @BeforeEach
  void publish() {
    for (int team = 0; team < TEAMS; team++) {
      change("team-" + team, 0, PROMPT_TEXT + team);
    }
    change("team-0", TEAMS, "second text");
    change("team-0", 0, "too late");
    append("not a record");
  }

  @Test
  void statesDifferOnlyInPromptTexts() {
    assertThat(withoutTexts.state().team("team-1").orElseThrow().rulebook()).isEmpty();
    assertThat(withTexts.state().team("team-1").orElseThrow().rulebook())
        .isEqualTo(PROMPT_TEXT + "1");
    assertThat(withoutTexts.state().versions()).isEqualTo(withTexts.state().versions());
    assertThat(withoutTexts.history()).isEqualTo(withTexts.history());
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void recordsAreServedUnchanged(boolean keepsPromptTexts) {
    assertThat((keepsPromptTexts ? withTexts : withoutTexts).recordsFrom(0)).isEqualTo(records);
  }

  @Test
  void snapshotsAreTheSame() {
    assertThat(withoutTexts.state().snapshot()).isEqualTo(withTexts.state().snapshot());
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void newReplicaStartsFromRecordsOfACopyWithoutPromptTexts(boolean keepsPromptTexts) {
    appendSnapshot();
    ConfigurationLog newReplica = new ConfigurationLog(keepsPromptTexts);
    List<LogRecord> served = withoutTexts.recordsFrom(0);
    newReplica.apply(served.get(0).offset(), served);

    assertThat(served.get(0).offset()).isGreaterThan(0);
    assertThat(newReplica.state()).isEqualTo((keepsPromptTexts ? withTexts : withoutTexts).state());
  }

  @ParameterizedTest
  @ValueSource(booleans = {true, false})
  void retainedRecordSharesTheSourceOfItsTemplateVersion(boolean isSnapshot) {
    if (isSnapshot) {
      appendSnapshot();
    }
    String held =
        withoutTexts.state().version("team-1").flatMap(TemplateVersion::source).orElseThrow();
    LogRecord record = isSnapshot ? records.get(records.size() - 2) : records.get(1);

    RetainedRecord retained = RetainedRecord.of(record, Optional.of(held));

    assertThat(retained.source()).isSameInstanceAs(held);
    assertThat(retained.toLogRecord()).isEqualTo(record);
  }

  private void appendSnapshot() {
    withTexts.state().snapshot().forEach(part -> append(ConfigurationRecordText.write(part)));
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
    withTexts.apply(0, List.of(record));
    withoutTexts.apply(0, List.of(record));
  }
}
