package org.shallothook.coordination.forward;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.shallothook.coordination.weights.EngineReport;

/** Load pattern: queues of long prompts, while sidecars report delays by the number of prompts. */
final class PrefillBacklogTest {
  private final PrefillBacklog backlog = new PrefillBacklog();

  @Test
  void withoutSamplesTheReportedDelayIsNotScaled() {
    assertThat(backlog.scale("engines")).isEqualTo(1.0);
  }

  @ParameterizedTest(name = "prompts of {0} ms: factor {1}")
  @CsvSource({"80, 2", "200, 5", "1, 0.5", "10000, 8"})
  void theReportedDelayIsScaledByThePrefillTimeOfQueuedPrompts(
      long prefillMillis, double expected) {
    backlog.onQueuedPrefill("engines", prefillMillis * 1_000.0);
    assertThat(backlog.scale("engines")).isWithin(0.01).of(expected);
    assertThat(backlog.scale("others")).isEqualTo(1.0);
    assertThat(EngineReport.ASSUMED_PREFILL_MICROS).isEqualTo(40_000);
  }
}
