package org.shallothook.coordination.forward;

import static com.google.common.truth.Truth.assertThat;
import static org.shallothook.coordination.forward.SoftwareFleet.MILLI;
import static org.shallothook.coordination.forward.SoftwareFleet.SECOND;

import com.google.common.collect.Range;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.shallothook.coordination.origin.OriginDirectory;
import org.shallothook.state.request.Outcome;
import org.shallothook.state.request.RefusalReason;

class ResumedSoftwareTest {
  private static final int ROUTERS = 3;
  private static final int STREAMS = 40;

  private final SoftwareFleet fleet =
      new SoftwareFleet(
          ROUTERS, Map.of("old-1", "v1", "old-2", "v1", "new-1", "v1.1", "new-2", "v1.1"));

  /** What happens between the begin of streams and their resumption. */
  private enum Disturbance {
    NONE {
      @Override
      void happen(SoftwareFleet fleet) {}
    },
    ALL_ROUTERS_RESTART {
      @Override
      void happen(SoftwareFleet fleet) {
        fleet.restartAll();
      }
    };

    abstract void happen(SoftwareFleet fleet);
  }

  /** Guards against resuming a caller's stream at another software version than it began at. */
  @ParameterizedTest
  @EnumSource(Disturbance.class)
  void aCallersStreamIsResumedOnlyAtTheSoftwareVersionThatBeganIt(Disturbance disturbance) {
    fleet.advance(SECOND);
    List<Long> begun = beginStreams();
    assertThat(versionsOf(begun)).containsExactly("v1", "v1.1");
    disturbance.happen(fleet);
    List<Long> resumed = resumeStreams(begun);
    for (int index = 0; index < STREAMS; index++) {
      assertThat(fleet.versionsOf(resumed.get(index)))
          .isEqualTo(fleet.versionsOf(begun.get(index)));
    }
  }

  /** Guards against resuming a stream of a version that has left at the one that is left. */
  @ParameterizedTest
  @CsvSource({"false, v1", "false, v1.1", "true, v1", "true, v1.1"})
  void aStreamOfAVersionThatHasLeftIsRefusedAndTheOthersGoOn(boolean restarts, String left) {
    fleet.advance(SECOND);
    List<Long> begun = beginStreams();
    String prefix = left.equals("v1") ? "old-" : "new-";
    if (restarts) {
      fleet.restartAll();
    }
    fleet.remove(prefix + 1);
    fleet.remove(prefix + 2);
    List<Long> resumed = resumeStreams(begun);
    for (int index = 0; index < STREAMS; index++) {
      Set<String> versions = fleet.versionsOf(begun.get(index));
      if (versions.contains(left)) {
        assertRefused(resumed.get(index), RefusalReason.SOFTWARE_VERSION_GONE);
      } else {
        assertThat(fleet.versionsOf(resumed.get(index))).isEqualTo(versions);
      }
    }
  }

  @Test
  void routersThatStartAfterTheOldVersionHasLeftDoNotTakeTheOtherForTheBaseVersion() {
    fleet.advance(SECOND);
    List<Long> begun = beginStreams();
    fleet.remove("old-1");
    fleet.remove("old-2");
    fleet.restartAll();
    fleet.advance(2 * SECOND);
    List<Long> resumed = resumeStreams(begun);
    for (int index = 0; index < STREAMS; index++) {
      boolean isGone = fleet.versionsOf(begun.get(index)).contains("v1");
      assertThat(fleet.versionsOf(resumed.get(index)))
          .isEqualTo(isGone ? Set.of() : Set.of("v1.1"));
    }
  }

  /** Guards against losing the version when a resumed stream is resumed again. */
  @ParameterizedTest
  @CsvSource({"false, false", "false, true", "true, false", "true, true"})
  void aStreamThatIsResumedAgainStaysAtItsVersion(boolean restarts, boolean namesFirst) {
    fleet.advance(SECOND);
    List<Long> begun = beginStreams();
    List<Long> named = begun;
    for (int round = 0; round < 3; round++) {
      if (restarts) {
        fleet.restartAll();
      }
      List<Long> resumed = resumeStreams(named);
      for (int index = 0; index < STREAMS; index++) {
        assertThat(fleet.versionsOf(resumed.get(index)))
            .isEqualTo(fleet.versionsOf(begun.get(index)));
      }
      named = namesFirst ? begun : resumed;
    }
  }

  @Test
  void aStreamThatNobodyNamesIsResumedOnlyWhileThereIsOneVersion() {
    fleet.advance(SECOND);
    long refused = fleet.resumeUnnamed(0);
    fleet.advance(SECOND);
    assertRefused(refused, RefusalReason.STREAM_ORIGIN_UNKNOWN);
  }

  @Test
  void oneVersionNeedsNoRecordsAndAnyStreamGoesOn() {
    SoftwareFleet single = new SoftwareFleet(ROUTERS, Map.of("old-1", "v1", "old-2", "v1"));
    single.advance(SECOND);
    long begun = single.begin(0);
    single.advance(SECOND);
    long unnamed = single.resumeUnnamed(1);
    long unknown = single.resumeUnknown(2);
    long resumed = single.resume(1, begun);
    single.advance(SECOND);
    assertThat(single.recordWrites()).isEqualTo(0);
    assertThat(single.declared()).hasSize(1);
    for (long request : List.of(unnamed, unknown, resumed)) {
      assertThat(single.versionsOf(request)).containsExactly("v1");
    }
  }

  /** Guards against resuming a stream whose server stated no readable version at any server. */
  @Test
  void aStreamOfAServerWithoutAReadableVersionIsNotResumed() {
    for (String server : List.of("old-1", "old-2", "new-1", "new-2")) {
      fleet.setFailing(server);
    }
    fleet.list("other-1", Optional.empty());
    fleet.list("other-2", Optional.empty());
    fleet.advance(SECOND);
    List<Long> begun = beginStreams();
    List<Long> resumed = resumeStreams(begun);
    boolean hasSuch = false;
    for (int index = 0; index < STREAMS; index++) {
      if (fleet.versionsOf(begun.get(index)).contains("")) {
        hasSuch = true;
        assertRefused(resumed.get(index), RefusalReason.STREAM_ORIGIN_UNKNOWN);
      }
    }
    assertThat(hasSuch).isTrue();
  }

  /** Guards against resuming at the version of an attempt that failed before the first event. */
  @ParameterizedTest
  @ValueSource(strings = {"old-", "new-"})
  void aStreamThatWasRetriedBeforeItsFirstEventHasTheVersionOfTheRetry(String failing) {
    fleet.advance(SECOND);
    fleet.setFailing(failing + 1);
    fleet.setFailing(failing + 2);
    List<Long> begun = beginStreams();
    fleet.restartAll();
    String other = failing.equals("old-") ? "v1.1" : "v1";
    int retried = 0;
    List<Long> resumed = resumeStreams(begun);
    for (int index = 0; index < STREAMS; index++) {
      if (fleet.relayedAtMicros(begun.get(index)).isPresent()
          && fleet.versionsOf(begun.get(index)).equals(Set.of(other))) {
        retried++;
        assertThat(fleet.versionsOf(resumed.get(index))).containsExactly(other);
      }
    }
    assertThat(retried).isAtLeast(1);
  }

  /** Guards against guessing while the store, which knows, is away. */
  @Test
  void streamsOfOtherRoutersAreRefusedWhileTheStoreIsAway() {
    fleet.advance(SECOND);
    List<Long> begun = beginStreams();
    fleet.setStoreUp(false);
    List<Long> resumed = new ArrayList<>();
    for (int index = 0; index < STREAMS; index++) {
      resumed.add(fleet.resume((index + 1) % ROUTERS, begun.get(index)));
    }
    fleet.advance(2 * SECOND);
    for (long request : resumed) {
      assertRefused(request, RefusalReason.STREAM_ORIGIN_UNKNOWN);
    }
  }

  @Test
  void streamsOfTheSameRouterGoOnWhileTheStoreIsAway() {
    fleet.advance(SECOND);
    List<Long> begun = beginStreams();
    fleet.setStoreUp(false);
    List<Long> resumed = new ArrayList<>();
    for (int index = 0; index < STREAMS; index++) {
      resumed.add(fleet.resume(index % ROUTERS, begun.get(index)));
    }
    fleet.advance(2 * SECOND);
    for (int index = 0; index < STREAMS; index++) {
      assertThat(fleet.versionsOf(resumed.get(index)))
          .isEqualTo(fleet.versionsOf(begun.get(index)));
    }
  }

  @Test
  void newStreamsAreServedAtTheBaseVersionWhileTheStoreIsAway() {
    fleet.advance(SECOND);
    fleet.setStoreUp(false);
    List<Long> begun = beginStreams();
    assertThat(versionsOf(begun)).hasSize(1);
    begun.forEach(stream -> assertThat(fleet.relayedAtMicros(stream)).isPresent());
  }

  @Test
  void aResponseWaitsForItsRecordForABoundedTime() {
    fleet.remove("old-1");
    fleet.remove("old-2");
    fleet.restoreEmptyStore();
    fleet.setStoreUp(false);
    long begunMicros = fleet.now();
    long stream = fleet.begin(0);
    fleet.advance(SECOND);
    long tookMicros = fleet.relayedAtMicros(stream).orElseThrow() - begunMicros;
    long respondedMicros = SoftwareFleet.RESPONSE_MICROS;
    assertThat(tookMicros)
        .isIn(
            Range.closed(
                respondedMicros,
                respondedMicros + OriginDirectory.RECORD_WAIT_MICROS + 40 * MILLI));
  }

  /** Guards against streams that go on at another version after the store lost their records. */
  @ParameterizedTest
  @ValueSource(longs = {100, 1_000, 4_000})
  void noStreamChangesItsVersionAfterARestoreOfTheStore(long waitMillis) {
    fleet.advance(SECOND);
    List<Long> begun = beginStreams();
    fleet.restoreEmptyStore();
    fleet.advance(waitMillis * MILLI);
    List<Long> resumed = resumeStreams(begun);
    for (int index = 0; index < STREAMS; index++) {
      assertThat(fleet.versionsOf(begun.get(index)))
          .containsAtLeastElementsIn(fleet.versionsOf(resumed.get(index)));
    }
  }

  /** Guards against two orders of the same versions, of which each router believes another. */
  @Test
  void ofDeclarationsOfTheSameTimeTheStoreTakesOne() {
    SoftwareFleet large = new SoftwareFleet(20, Map.of("old-1", "v1", "new-1", "v1.1"));
    large.advance(3 * SECOND);
    assertThat(large.declared()).containsNoDuplicates();
    assertThat(large.declared()).hasSize(2);
  }

  private List<Long> beginStreams() {
    List<Long> begun = new ArrayList<>();
    for (int index = 0; index < STREAMS; index++) {
      begun.add(fleet.begin(index % ROUTERS));
      fleet.advance(10 * MILLI);
    }
    fleet.advance(SECOND);
    return begun;
  }

  /** Resumes each stream, the latest first, at another router than it was begun at. */
  private List<Long> resumeStreams(List<Long> begun) {
    List<Long> resumed = new ArrayList<>();
    for (int index = begun.size() - 1; index >= 0; index--) {
      resumed.add(0, fleet.resume((index + 1) % ROUTERS, begun.get(index)));
      fleet.advance(10 * MILLI);
    }
    fleet.advance(SECOND);
    return resumed;
  }

  private Set<String> versionsOf(List<Long> requests) {
    Set<String> versions = new HashSet<>();
    requests.forEach(request -> versions.addAll(fleet.versionsOf(request)));
    return versions;
  }

  private void assertRefused(long request, RefusalReason reason) {
    assertThat(fleet.versionsOf(request)).isEmpty();
    assertThat(fleet.refusal(request).orElseThrow().reason()).isEqualTo(reason);
    assertThat(fleet.refusal(request).orElseThrow().outcome()).isEqualTo(Outcome.NOT_RUN);
  }
}
