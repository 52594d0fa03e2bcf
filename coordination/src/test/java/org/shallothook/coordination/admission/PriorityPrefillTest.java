package org.shallothook.coordination.admission;

import static com.google.common.truth.Truth.assertThat;
import static org.shallothook.coordination.sidecar.SidecarHarness.attempt;
import static org.shallothook.coordination.sidecar.SidecarHarness.offer;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.shallothook.coordination.sidecar.SidecarCommand;
import org.shallothook.coordination.sidecar.SidecarHarness;
import org.shallothook.state.request.AttemptId;

/**
 * Ordinary prompts whose prefill takes longer than estimated, with priority work waiting behind
 * them.
 */
final class PriorityPrefillTest {
  private static final AttemptId ORDINARY = attempt("ordinary");
  private static final AttemptId URGENT = attempt("urgent");

  /** The estimated prefill time of the ordinary prompt is 10 ms. */
  @ParameterizedTest
  @CsvSource({"200000, 0", "0, 200000", "60000, 60000"})
  void overdueOrdinaryPrefillIsPreemptedByPriorityWork(long microsBefore, long microsAfter) {
    SidecarHarness sidecar = SidecarHarness.ready(8);
    sidecar.send(offer("ordinary"));
    sidecar.pass(microsBefore);
    sidecar.send(offer("urgent").priority());
    sidecar.pass(microsAfter);

    assertThat(sidecar.started()).containsAtLeast(ORDINARY, URGENT).inOrder();
    assertThat(sidecar.commands(SidecarCommand.CancelAnswer.class))
        .containsExactly(new SidecarCommand.CancelAnswer(ORDINARY));
    assertThat(sidecar.counters).containsEntry("preemptions.prefill", 1);
  }

  @Test
  void ordinaryPrefillsContinueAfterPriorityPrefill() {
    SidecarHarness sidecar = SidecarHarness.ready(8);
    sidecar.send(offer("urgent").priority());
    sidecar.tokens(URGENT, 0, 1);
    sidecar.send(offer("ordinary"));
    sidecar.pass(500_000);

    assertThat(sidecar.commands(SidecarCommand.CancelAnswer.class)).isEmpty();
  }
}
