package org.shallothook.coordination.origin;

import static com.google.common.truth.Truth.assertThat;

import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class OriginRecorderTest {
  private static final long SECOND = 1_000_000;
  private static final long RESUMABLE = 30 * SECOND;
  private static final long TIME_OF_DAY = 1_000_000 * SECOND;
  private static final long START = 100 * SECOND;

  private final OriginRecorder recorder = new OriginRecorder("router-1", TIME_OF_DAY);
  private final StreamOrigins store = new StreamOrigins();

  @Test
  void streamsSinceTheLastWriteAreWrittenTogether() {
    begin("a", "v1.1", START);
    begin("b", "v1.2", START);
    Map<String, Optional<RecordedStreams>> write = write(1, START);
    assertThat(write).hasSize(1);
    assertThat(write.values().iterator().next().orElseThrow().versions())
        .containsExactly("a", "v1.1", "b", "v1.2");
  }

  @Test
  void aStreamOfTheBaseVersionIsKnownHereAndNotWritten() {
    recorder.onBegun("a", "v1", true, START + RESUMABLE);
    assertThat(write(1, START)).isEmpty();
    assertThat(recorder.versionOf("a")).hasValue("v1");
    assertThat(recorder.isPending("a")).isFalse();
  }

  @Test
  void aStreamIsPendingUntilItsWriteIsDone() {
    begin("a", "v1.1", START);
    assertThat(recorder.isPending("a")).isTrue();
    write(1, START);
    assertThat(recorder.isPending("a")).isTrue();
    recorder.onWritten(true);
    assertThat(recorder.isPending("a")).isFalse();
  }

  /** Guards against a retry at the base version that others take for a stream of another one. */
  @Test
  void aRetryAtTheBaseVersionReplacesTheRecordOfTheFirstAttempt() {
    begin("a", "v1.1", START);
    write(1, START);
    recorder.onWritten(true);
    recorder.onBegun("a", "v1", true, START + RESUMABLE);
    assertThat(recorder.isPending("a")).isTrue();
    write(1, START + SECOND);
    recorder.onWritten(true);
    assertThat(store.versionOf("a")).hasValue("v1");
  }

  @Test
  void aRetryWhileTheFirstVersionIsBeingWrittenIsWrittenNext() {
    begin("a", "v1.1", START);
    write(1, START);
    begin("a", "v1.2", START);
    recorder.onWritten(false);
    write(1, START + SECOND);
    assertThat(store.versionOf("a")).hasValue("v1.2");
  }

  @Test
  void aFailedWriteIsRepeated() {
    begin("a", "v1.1", START);
    write(1, START);
    recorder.onWritten(false);
    assertThat(recorder.isWritable(SECOND, START)).isFalse();
    assertThat(write(1, START + SECOND)).hasSize(1);
    recorder.onWritten(true);
    assertThat(recorder.isWritable(SECOND, START + SECOND)).isTrue();
  }

  @Test
  void aWriteWithoutAnAnswerIsGivenUp() {
    begin("a", "v1.1", START);
    write(1, START);
    assertThat(recorder.isWritable(SECOND, START + SECOND + 1)).isFalse();
    assertThat(write(1, START + OriginRecorder.WRITE_TIMEOUT_MICROS)).hasSize(1);
  }

  /** Guards against a write that is executed late and takes a newer one's place. */
  @Test
  void aRepeatedWriteHasAnotherKey() {
    begin("a", "v1.1", START);
    Map<String, Optional<RecordedStreams>> first = write(1, START);
    begin("b", "v1.1", START);
    Map<String, Optional<RecordedStreams>> second =
        write(1, START + OriginRecorder.WRITE_TIMEOUT_MICROS);
    assertThat(second.keySet()).containsNoneIn(first.keySet());
    first.forEach(store::onRecorded);
    assertThat(store.versionOf("b")).hasValue("v1.1");
  }

  @ParameterizedTest
  @ValueSource(ints = {1, 20, 380})
  void writesOfAllRoutersStayWithinABound(int routers) {
    int writes = 0;
    for (long micros = START; micros < START + 10 * SECOND; micros += 40_000) {
      begin("stream-" + micros, "v1.1", micros);
      writes += write(routers, micros).isEmpty() ? 0 : 1;
      recorder.onWritten(true);
    }
    assertThat(writes).isAtLeast(1);
    long bound = 10 * SECOND / Math.max(40_000, OriginRecorder.WRITE_SPACING_MICROS * routers) + 1;
    assertThat((long) writes).isAtMost(bound);
  }

  @Test
  void keysWhoseStreamsCannotBeResumedAreRemoved() {
    for (long micros = START; micros < START + 200 * SECOND; micros += SECOND) {
      begin("stream-" + micros, "v1.1", micros);
      write(1, micros);
      recorder.onWritten(true);
    }
    long most = (RESUMABLE + OriginRecorder.REMOVAL_INTERVAL_MICROS) / SECOND + 1;
    assertThat((long) store.size()).isAtMost(most);
    assertThat(store.versionOf("stream-" + (START + 199 * SECOND))).hasValue("v1.1");
  }

  @Test
  void keysThatAnEarlierProcessLeftAreRemoved() {
    store.onRecorded(
        "router-1/7", Optional.of(new RecordedStreams(TIME_OF_DAY, Map.of("old", "v1.1"))));
    store.onRecorded(
        "router-11/7", Optional.of(new RecordedStreams(TIME_OF_DAY, Map.of("other", "v1.1"))));
    assertThat(write(1, START)).containsExactly("router-1/7", Optional.empty());
    assertThat(store.versionOf("other")).hasValue("v1.1");
  }

  @Test
  void streamsThatARestoredStoreMayLackAreWrittenAgain() {
    begin("a", "v1.1", START);
    Map<String, Optional<RecordedStreams>> first = write(1, START);
    recorder.onWritten(true);
    recorder.onRestored();
    assertThat(write(1, START + SECOND)).isEqualTo(first);
  }

  @Test
  void theNumberOfStreamsIsBounded() {
    for (int number = 0; number < 2 * OriginRecorder.MAXIMUM_STREAMS; number++) {
      begin("stream-" + number, "v1.1", START);
    }
    assertThat(recorder.versionOf("stream-0")).isEmpty();
    Map<String, Optional<RecordedStreams>> write = write(1, START);
    assertThat(write.values().iterator().next().orElseThrow().versions())
        .hasSize(OriginRecorder.MAXIMUM_BATCH);
  }

  @Test
  void streamsThatCannotBeResumedAreForgotten() {
    begin("a", "v1.1", START);
    recorder.removeExpired(START + RESUMABLE - 1);
    assertThat(recorder.versionOf("a")).hasValue("v1.1");
    recorder.removeExpired(START + RESUMABLE);
    assertThat(recorder.versionOf("a")).isEmpty();
  }

  private void begin(String request, String version, long nowMicros) {
    recorder.onBegun(request, version, false, nowMicros + RESUMABLE);
  }

  /** Carries out the write that is due, and returns it. */
  private Map<String, Optional<RecordedStreams>> write(int routers, long nowMicros) {
    Map<String, Optional<RecordedStreams>> write =
        recorder.nextWrite(routers, RESUMABLE, store, nowMicros);
    write.forEach(store::onRecorded);
    return write;
  }
}
