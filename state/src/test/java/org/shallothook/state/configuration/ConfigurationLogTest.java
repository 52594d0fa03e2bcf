package org.shallothook.state.configuration;

import static com.google.common.truth.Truth.assertThat;
import static org.shallothook.state.configuration.Templates.change;
import static org.shallothook.state.configuration.Templates.source;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.shallothook.state.cache.ModelVersion;
import org.shallothook.state.log.LogRecord;

final class ConfigurationLogTest {
  private final ConfigurationLog log = new ConfigurationLog();

  private ChangeVerdict take(LogRecord record) {
    log.apply(0, List.of(record));
    return log.history().get(log.history().size() - 1).verdict();
  }

  @Test
  void firstOfTwoConcurrentChangesWins() {
    assertThat(take(change(0, "c1", 0, "a", source("a", "1", "1"))))
        .isEqualTo(ChangeVerdict.ACCEPTED);
    assertThat(take(change(1, "c2", 0, "a", source("a", "1", "2"))))
        .isEqualTo(ChangeVerdict.CONFLICT);
    assertThat(take(change(2, "c3", 0, "b", source("b", "2", "1"))))
        .isEqualTo(ChangeVerdict.ACCEPTED);
    assertThat(take(change(3, "c4", 1, "a", source("a", "1", "3"))))
        .isEqualTo(ChangeVerdict.ACCEPTED);
    assertThat(log.state().team("a").orElseThrow().modelVersion().version()).isEqualTo("3");
    assertThat(log.history().get(1).detail()).contains("'c1'");
    assertThat(log.conflicts()).isEqualTo(1);
  }

  @Test
  void repeatedChangeDoesNotRevertALaterOne() {
    take(change(0, "c1", 0, "a", source("a", "1", "1")));
    take(change(1, "c2", 1, "a", source("a", "1", "2")));
    assertThat(take(change(2, "c1", 2, "a", source("a", "1", "1"))))
        .isEqualTo(ChangeVerdict.REPEATED);
    assertThat(log.state().team("a").orElseThrow().modelVersion().version()).isEqualTo("2");
  }

  @Test
  void invalidRecordsAreSkippedAndCounted() {
    assertThat(take(new LogRecord(0, 0, "not a record"))).isEqualTo(ChangeVerdict.INVALID);
    assertThat(take(change(1, "c1", 9, "a", source("a", "1", "1"))))
        .isEqualTo(ChangeVerdict.INVALID);
    assertThat(take(change(2, "c2", 0, "b", source("a", "1", "1"))))
        .isEqualTo(ChangeVerdict.INVALID);
    assertThat(take(change(3, "c3", 0, "a", null))).isEqualTo(ChangeVerdict.INVALID);
    assertThat(log.invalidRecords()).isEqualTo(4);
    assertThat(log.state().offset()).isEqualTo(4);
    assertThat(log.state().teams()).isEmpty();
  }

  @Test
  void keyBelongsToOneTeamUntilTheTeamIsRemoved() {
    take(change(0, "c1", 0, "a", source("a", "1", "1")));
    assertThat(take(change(1, "c2", 0, "b", source("b", "1", "1"))))
        .isEqualTo(ChangeVerdict.INVALID);
    assertThat(take(change(2, "c3", 1, "a", null))).isEqualTo(ChangeVerdict.ACCEPTED);
    assertThat(take(change(3, "c4", 0, "b", source("b", "1", "1"))))
        .isEqualTo(ChangeVerdict.ACCEPTED);
  }

  @Test
  void changeWithABaseBeforeARemovalIsAConflict() {
    take(change(0, "c1", 0, "a", source("a", "1", "1")));
    take(change(1, "c2", 1, "a", null));
    assertThat(take(change(2, "c3", 1, "a", source("a", "1", "2"))))
        .isEqualTo(ChangeVerdict.CONFLICT);
  }

  @Test
  void newReplicaStartsFromASnapshotWhenOlderRecordsAreGone() {
    take(change(0, "c1", 0, "a", source("a", "1", "1")));
    take(change(1, "c2", 0, "b", source("b", "2", "1")));
    take(change(2, "c3", 2, "b", null));
    List<LogRecord> tail = new ArrayList<>();
    for (ConfigurationRecord.SnapshotPart part : log.state().snapshot()) {
      long offset = 4L + tail.size();
      tail.add(new LogRecord(offset, 0, ConfigurationRecordText.write(part)));
    }
    tail.add(0, change(3, "c4", 3, "a", source("a", "1", "2")));
    tail.add(change(6, "c5", 0, "b", source("b", "2", "2")));
    log.apply(0, tail);

    ConfigurationLog newReplica = new ConfigurationLog();
    newReplica.apply(3, tail.subList(0, 2));
    assertThat(newReplica.state().offset()).isEqualTo(0);
    newReplica.apply(3, tail.subList(2, 4));
    assertThat(newReplica.state()).isEqualTo(log.state());
    assertThat(newReplica.state().team("a").orElseThrow().modelVersion().version()).isEqualTo("2");
    assertThat(newReplica.recordsFrom(0)).isEqualTo(log.recordsFrom(0));
    assertThat(log.oldestRetainedOffset()).hasValue(3L);
  }

  private List<String> earlierOf(String team) {
    return log.state().earlierVersions(team).stream().map(ModelVersion::version).toList();
  }

  private LogRecord rolledOut(long offset, long base, String version) {
    ConfigurationRecord record =
        new ConfigurationRecord.RolledOut(base, ModelVersion.of("m", version));
    return new LogRecord(offset, offset, ConfigurationRecordText.write(record));
  }

  @Test
  void earlierModelVersionsAreKeptUntilTheNewOneIsRolledOut() {
    take(change(0, "c1", 0, "a", source("a", "1", "1")));
    assertThat(earlierOf("a")).isEmpty();
    take(change(1, "c2", 1, "a", source("a", "1", "2")));
    take(change(2, "c3", 2, "a", source("a", "1", "2")));
    assertThat(earlierOf("a")).containsExactly("1");
    take(change(3, "c4", 3, "a", source("a", "1", "3")));
    assertThat(earlierOf("a")).containsExactly("2", "1").inOrder();

    assertThat(take(rolledOut(4, 4, "2"))).isEqualTo(ChangeVerdict.REPEATED);
    assertThat(take(rolledOut(5, 5, "3"))).isEqualTo(ChangeVerdict.ROLLED_OUT);
    assertThat(earlierOf("a")).isEmpty();
    assertThat(log.state().effectiveOffset()).isEqualTo(4);
  }

  @Test
  void lateRecordOfAnEarlierRolloutDoesNotAffectALaterOne() {
    take(change(0, "c1", 0, "a", source("a", "1", "1")));
    take(change(1, "c2", 1, "a", source("a", "1", "2")));
    take(change(2, "c3", 2, "a", source("a", "1", "1")));
    assertThat(earlierOf("a")).containsExactly("2");
    take(change(3, "c4", 3, "a", source("a", "1", "2")));
    assertThat(take(rolledOut(4, 2, "2"))).isEqualTo(ChangeVerdict.REPEATED);
    assertThat(earlierOf("a")).containsExactly("1");
  }

  @Test
  void snapshotIncludesEarlierModelVersionsWithAnyAdapter() {
    String adapted = source("a", "1", "1") + "adapter = guild/linen 2;x\n";
    take(change(0, "c1", 0, "a", adapted));
    take(change(1, "c2", 1, "a", source("a", "1", "2")));
    assertThat(log.state().earlierVersions("a").get(0).adapter()).isNotEmpty();

    ConfigurationLog newReplica = new ConfigurationLog();
    newReplica.apply(
        2,
        log.state().snapshot().stream()
            .map(part -> new LogRecord(2 + part.part(), 2, ConfigurationRecordText.write(part)))
            .toList());
    assertThat(newReplica.state().versions()).isEqualTo(log.state().versions());
  }

  @Test
  void gapIsNotSkippedWhileTheSourceStillHasTheRecords() {
    take(change(0, "c1", 0, "a", source("a", "1", "1")));
    log.apply(0, List.of(change(2, "c3", 1, "a", source("a", "1", "3"))));
    assertThat(log.state().offset()).isEqualTo(1);
    assertThat(log.nextOffset()).isEqualTo(1);
  }
}
