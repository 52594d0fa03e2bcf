package org.shallothook.coordination.router;

import static com.google.common.truth.Truth.assertThat;
import static com.google.common.truth.Truth.assertWithMessage;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.shallothook.state.request.AttemptId;
import org.shallothook.state.request.RequestId;

/** A sidecar that is silent for a moment costs no caller of the own interface an answer. */
final class SilentEngineReviewTest {
  private static final long MILLI = 1_000;

  /** Guards against a stream that is taken from a silent sidecar though no other can take it. */
  @ParameterizedTest
  @ValueSource(longs = {1_500, 2_500, 4_000})
  void aStreamStaysAtItsSilentSidecarIfThereIsNoOther(long silentMillis) {
    RouterHarness harness = RouterHarness.ready(1);
    RequestId request = harness.chat("Whose turn is it?");
    AttemptId attempt = harness.acceptLatest(request);
    harness.tokens(attempt, 0, "Agn");
    harness.send(new RouterEvent.CallerConsumed(request, 1));

    harness.advance(silentMillis * MILLI);
    assertWithMessage("%s", harness.refusal(request))
        .that(harness.refusal(request).isPresent())
        .isFalse();
    harness.tokens(attempt, 1, "es");
    harness.ended(attempt, 2);

    assertThat(harness.isComplete(request)).isTrue();
  }
}
