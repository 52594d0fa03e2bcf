package org.shallothook.coordination.forward;

import static com.google.common.truth.Truth.assertThat;
import static org.shallothook.coordination.forward.ForwardHarness.MILLI;
import static org.shallothook.coordination.forward.ForwardHarness.SECOND;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.shallothook.state.request.Outcome;
import org.shallothook.state.request.Refusal;
import org.shallothook.state.request.RefusalReason;

/** Covers requests that are open when the grace period of a planned stop ends. */
final class RouterShutdownTest {
  private static final long GRACE_MICROS = 500 * MILLI;

  // Guards against requests that are cut off without an answer at the end of the grace period.
  @ParameterizedTest
  @CsvSource({"/book/1, UNKNOWN", "/read/1, UNKNOWN"})
  void aRequestAtAServerGetsAFinalResponseBeforeTheProcessEnds(String target, Outcome outcome) {
    ForwardHarness harness = ForwardHarness.ready(0, 1);
    long request = harness.submitCall(target);
    harness.handle(new ForwardEvent.Leaving(harness.now(), harness.now() + GRACE_MICROS));

    harness.advance(GRACE_MICROS - 40 * MILLI);

    Refusal refusal = harness.refusal(request).orElseThrow();
    assertThat(refusal.reason()).isEqualTo(RefusalReason.CONNECTION_LOST);
    assertThat(refusal.outcome()).isEqualTo(outcome);
    assertThat(harness.commands).contains(new ForwardCommand.Drop(request, 1));
    assertThat(harness.core.openRequests()).isEqualTo(0);
  }

  // Guards against a request that reached no server being cut off instead of sent elsewhere.
  @Test
  void aRequestThatWaitsIsRefusedAsNotRunBeforeTheProcessEnds() {
    ForwardHarness harness = ForwardHarness.ready(0, 1);
    for (int slot = 0; slot < 4; slot++) {
      harness.submitCall("/book/" + slot);
    }
    long waiting = harness.submitCall("/book/9");
    assertThat(harness.sent(waiting)).isEmpty();
    harness.handle(new ForwardEvent.Leaving(harness.now(), harness.now() + 150 * MILLI));

    harness.advance(120 * MILLI);

    Refusal refusal = harness.refusal(waiting).orElseThrow();
    assertThat(refusal.reason()).isEqualTo(RefusalReason.ROUTER_LEAVING);
    assertThat(refusal.outcome()).isEqualTo(Outcome.NOT_RUN);
  }

  // Guards against requests taken too late in a stop whose process is slow to notice the time.
  @ParameterizedTest
  @CsvSource({"0, false", "199, false", "200, true", "400, true"})
  void aRequestIsRefusedFromTheTimeThatWasGivenAtTheSignal(long afterMillis, boolean isRefused) {
    ForwardHarness harness = ForwardHarness.ready(1, 0);
    harness.handle(
        new ForwardEvent.Leaving(harness.now() + 200 * MILLI, harness.now() + GRACE_MICROS));

    harness.advance(afterMillis * MILLI);
    long request = harness.submitShortPrompt("letter");

    assertThat(harness.refusal(request).map(Refusal::reason))
        .isEqualTo(isRefused ? Optional.of(RefusalReason.ROUTER_LEAVING) : Optional.empty());
  }

  @Test
  void aStreamThatHasBegunIsBrokenOffVisibly() {
    ForwardHarness harness = ForwardHarness.ready(1, 0);
    long stream = harness.submitShortPrompt("letter");
    harness.respond(stream, 200);
    harness.handle(new ForwardEvent.Leaving(harness.now(), harness.now() + GRACE_MICROS));
    harness.advance(GRACE_MICROS - 200 * MILLI);
    assertThat(harness.isBrokenOff(stream)).isFalse();
    harness.advance(160 * MILLI);
    assertThat(harness.isBrokenOff(stream)).isTrue();
  }

  // Guards against a response that is complete in time being replaced by a failure.
  @ParameterizedTest
  @ValueSource(longs = {0, 200, 380})
  void aRequestThatEndsInTimeKeepsItsResponse(long respondsAfterMillis) {
    ForwardHarness harness = ForwardHarness.ready(0, 1);
    long request = harness.submitCall("/book/1");
    harness.handle(new ForwardEvent.Leaving(harness.now(), harness.now() + GRACE_MICROS));
    harness.advance(respondsAfterMillis * MILLI);
    harness.respond(request, 200);
    harness.complete(request);
    harness.advance(SECOND);
    assertThat(harness.refusal(request)).isEqualTo(Optional.empty());
    assertThat(harness.isBrokenOff(request)).isFalse();
  }
}
