package org.shallothook.transport.forward;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** When requests may be begun that were read after the event loop stood still. */
final class LoopPausesTest {
  private static final long MILLI = 1_000;

  @ParameterizedTest(name = "last beat {0} ms ago, then one, read {1} ms after it")
  @CsvSource({
    "50, 0, true, true",
    "190, 0, true, true",
    "300, 0, false, false",
    "300, 19, false, false",
    "300, 20, false, true",
    "5000, 30, false, true",
  })
  void afterAPauseTheLoopSettlesFirst(
      long pauseMillis, long laterMillis, boolean isSettledBefore, boolean isSettledAfter) {
    LoopPauses pauses = new LoopPauses(0);
    long resumed = pauseMillis * MILLI;
    assertThat(pauses.isSettled(resumed)).isEqualTo(isSettledBefore);
    pauses.beat(resumed);
    assertThat(pauses.isSettled(resumed + laterMillis * MILLI)).isEqualTo(isSettledAfter);
  }
}
