package org.shallothook.protocol.platform;

import static com.google.common.truth.Truth.assertThat;

import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.shallothook.coordination.origin.RecordedStreams;

class RecordedStreamsFormatTest {
  static Stream<RecordedStreams> records() {
    return Stream.of(
        new RecordedStreams(0, Map.of()),
        new RecordedStreams(1_700_000_000_000_000L, Map.of("a", "v1.1")),
        new RecordedStreams(7, Map.of("a", "v1.1", "b", "v1.2", "\"c", "v1.1")));
  }

  @ParameterizedTest
  @MethodSource("records")
  void aRecordIsReadAsItWasWritten(RecordedStreams record) {
    assertThat(RecordedStreamsFormat.read(RecordedStreamsFormat.write(record)).get())
        .isEqualTo(record);
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "[]",
        "{}",
        "{\"at\":1}",
        "{\"at\":-1,\"begun\":[]}",
        "{\"at\":1,\"begun\":[{\"version\":1,\"requests\":[]}]}",
        "{\"at\":1,\"begun\":[{\"version\":\"v1\",\"requests\":[1]}]}"
      })
  void anInvalidRecordIsAnError(String document) {
    assertThat(RecordedStreamsFormat.read(document).isLeft()).isTrue();
  }
}
