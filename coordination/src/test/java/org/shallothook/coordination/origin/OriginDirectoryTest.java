package org.shallothook.coordination.origin;

import static com.google.common.truth.Truth.assertThat;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.shallothook.coordination.origin.Origin.Knowledge;

class OriginDirectoryTest {
  private static final long SECOND = 1_000_000;
  private static final long RESUMABLE = 30 * SECOND;
  private static final long START = 100 * SECOND;
  private static final SoftwareVersion OLD = new SoftwareVersion("engines", "v1");
  private static final SoftwareVersion NEW = new SoftwareVersion("engines", "v1.1");

  private final OriginDirectory directory =
      new OriginDirectory("router-1", 0, new SplittableRandom(1));

  @BeforeEach
  void readAll() {
    directory.onResumableTime(RESUMABLE);
    directory.onReachable(true, START);
    directory.onDeclared(OLD, Optional.of(1L), START);
    directory.onDeclared(NEW, Optional.of(2L), START);
    directory.onListed(Set.of(OLD, NEW), START);
    directory.onRecorded(
        "router-2/1", Optional.of(new RecordedStreams(1, Map.of("recorded", NEW.version()))));
    directory.onRead(START + SECOND);
  }

  @Test
  void aRecordedStreamWasBegunAtTheRecordedVersion() {
    assertThat(find("recorded", START + SECOND))
        .isEqualTo(new Origin(Knowledge.RECORDED, Optional.of("v1.1"), 0));
  }

  @Test
  void aStreamWithoutARecordWasBegunAtTheBaseVersion() {
    assertThat(find("other", START + SECOND))
        .isEqualTo(new Origin(Knowledge.BASE, Optional.of("v1"), 0));
  }

  @Test
  void nothingIsKnownFromReadsBeforeTheQuestion() {
    assertThat(find("recorded", START + SECOND + 1).knowledge()).isEqualTo(Knowledge.AWAITED);
    assertThat(find("other", START + SECOND + 1).knowledge()).isEqualTo(Knowledge.AWAITED);
  }

  @Test
  void aStreamOfThisRouterIsKnownWithoutARead() {
    directory.onBegun("own", NEW, START + 2 * SECOND);
    assertThat(find("own", START + 2 * SECOND))
        .isEqualTo(new Origin(Knowledge.OWN, Optional.of("v1.1"), 0));
  }

  @Test
  void theVersionOfAnUnnamedStreamIsKnownOnlyIfThereIsOne() {
    assertThat(directory.find(Optional.empty(), "engines", START, START + SECOND).knowledge())
        .isEqualTo(Knowledge.UNKNOWN);
    directory.onDeclared(NEW, Optional.empty(), START);
    directory.onListed(Set.of(OLD), START);
    assertThat(directory.find(Optional.empty(), "engines", START, START + SECOND))
        .isEqualTo(new Origin(Knowledge.ONLY, Optional.of("v1"), 0));
  }

  /** What may have kept records from the store, or have taken them from it. */
  private enum Disturbance {
    OUTAGE {
      @Override
      void happen(OriginDirectory directory) {
        directory.onReachable(false, START);
        directory.onReachable(true, START + SECOND);
      }
    },
    RESTORE {
      @Override
      void happen(OriginDirectory directory) {
        directory.onRestored(START + SECOND);
      }
    };

    abstract void happen(OriginDirectory directory);
  }

  /** Guards against taking a stream whose record is missing for one of the base version. */
  @ParameterizedTest
  @EnumSource(Disturbance.class)
  void aStreamWithoutARecordIsUnknownWhileRecordsMayBeMissing(Disturbance disturbance) {
    disturbance.happen(directory);
    long overMicros = START + SECOND + OriginDirectory.AFTERMATH_MICROS;
    directory.onRead(overMicros);
    assertThat(directory.find(Optional.of("other"), "engines", START, overMicros - 1).knowledge())
        .isEqualTo(Knowledge.UNKNOWN);
    assertThat(
            directory.find(Optional.of("recorded"), "engines", START, overMicros - 1).knowledge())
        .isEqualTo(Knowledge.RECORDED);
    assertThat(directory.find(Optional.of("other"), "engines", START, overMicros).knowledge())
        .isEqualTo(Knowledge.BASE);
  }

  @Test
  void onlyStreamsOfOtherVersionsThanTheBaseVersionAreRecorded() {
    directory.onBegun("old", OLD, START + SECOND);
    directory.onBegun("new", NEW, START + SECOND);
    assertThat(directory.isPending("old")).isFalse();
    assertThat(directory.isPending("new")).isTrue();
    Map<String, Optional<RecordedStreams>> write = directory.recordsDue(1, START + SECOND);
    assertThat(write.values().iterator().next().orElseThrow().versions())
        .containsExactly("new", "v1.1");
  }

  /** Guards against streams without records at a version that others have withdrawn meanwhile. */
  @Test
  void streamsOfABaseVersionThatIsListedAgainAreRecordedUntilTheStoreIsRead() {
    directory.onListed(Set.of(NEW), START + 2 * SECOND);
    directory.onListed(Set.of(OLD, NEW), START + 3 * SECOND);
    assertThat(directory.needsRead()).isTrue();
    directory.onBegun("before", OLD, START + 3 * SECOND);
    assertThat(directory.isPending("before")).isTrue();
    directory.onRead(START + 3 * SECOND);
    directory.onBegun("after", OLD, START + 3 * SECOND);
    assertThat(directory.isPending("after")).isFalse();
  }

  @Test
  void versionsAreDeclaredOnceAllIsReadAndAgainAfterAnInterval() {
    SoftwareVersion newest = new SoftwareVersion("engines", "v1.2");
    directory.onListed(Set.of(OLD, NEW, newest), START + 2 * SECOND);
    assertThat(directory.declarationsDue(1, START + 2 * SECOND)).isEmpty();
    directory.onRead(START + 2 * SECOND);
    assertThat(directory.declarationsDue(1, START + 2 * SECOND)).isEmpty();
    assertThat(directory.declarationsDue(1, START + 3 * SECOND))
        .containsExactly(newest, Optional.of(3L));
    assertThat(directory.declarationsDue(1, START + 3 * SECOND)).isEmpty();
    assertThat(directory.declarationsDue(1, START + 4 * SECOND)).isNotEmpty();
  }

  @Test
  void baseVersionsArePreferredWhileRecordsCannotBeWritten() {
    assertThat(directory.prefersBase(START + SECOND)).isFalse();
    directory.onBegun("new", NEW, START + SECOND);
    assertThat(directory.recordsDue(1, START + SECOND)).isNotEmpty();
    directory.onWritten(false);
    assertThat(directory.prefersBase(START + SECOND)).isTrue();
  }

  private Origin find(String request, long askedMicros) {
    return directory.find(Optional.of(request), "engines", askedMicros, START + SECOND);
  }
}
