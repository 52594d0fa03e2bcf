package org.shallothook.protocol.caller;

import static com.google.common.truth.Truth.assertThat;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.shallothook.state.request.Refusal;
import org.shallothook.state.request.RefusalReason;
import org.shallothook.state.request.RequestId;

final class AnswerFormsTest {
  private static final RequestId ID = new RequestId("r-1");

  @Test
  void aChunkHasTheOpenAiFormat() {
    assertThat(new ChatResponseWriter(ID, "m", 9).textChunk("a\nb"))
        .isEqualTo(
            "data: {\"id\":\"r-1\",\"object\":\"chat.completion.chunk\",\"created\":9,"
                + "\"model\":\"m\",\"choices\":[{\"index\":0,\"delta\":{\"content\":\"a\\nb\"},"
                + "\"finish_reason\":null}]}\n\n");
  }

  @Test
  void aRefusalNamesCodeRemedyOutcomeAndRequest() {
    Refusal refusal = Refusal.notRun(RefusalReason.UNKNOWN_MODEL, "No model 'x'.");

    assertThat(ErrorResponseWriter.body(ID, refusal))
        .isEqualTo(
            "{\"error\":{\"code\":\"unknown-model\",\"message\":\"No model 'x'. Use a model listed"
                + " by GET /v1/models for this team.\",\"outcome\":\"not-run\","
                + "\"request_id\":\"r-1\"}}");
  }

  @ParameterizedTest
  @CsvSource({"0,1", "1,1", "1000000,1", "1000001,2", "-5,1"})
  void retryAfterIsRoundedUp(long waitMicros, long seconds) {
    assertThat(ErrorResponseWriter.retryAfterSeconds(100 + waitMicros, 100)).isEqualTo(seconds);
  }

  @Test
  void aServicePathKeepsItsSegments() {
    assertThat(ServicePath.of("/v1/services/bookings/cloths/7"))
        .isEqualTo(Optional.of(new ServicePath("bookings", "cloths/7")));
  }

  @ParameterizedTest
  @ValueSource(
      strings = {
        "/v1/services/",
        "/v1/services/bookings",
        "/v1/services/bookings/",
        "/v1/services//book",
        "/v1/services/bookings/../admin",
        "/v1/services/bookings/a//b",
        "/v1/services/bookings/%2e%2e/admin",
        "/v1/services/bookings/a b",
      })
  void aPathThatProcessesCouldParseDifferentlyIsRejected(String path) {
    assertThat(ServicePath.of(path).isEmpty()).isTrue();
  }
}
