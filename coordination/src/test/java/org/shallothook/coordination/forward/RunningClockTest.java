package org.shallothook.coordination.forward;

import static com.google.common.truth.Truth.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Covers what a process counts as the time for which it has been running. */
final class RunningClockTest {
  private static final long START_MICROS = 100_000_000;

  // Guards against time for which the process stood still counting as time that it observed.
  @ParameterizedTest
  @CsvSource({"40000, 40000", "200000, 200000", "200001, 200000", "4000000, 200000"})
  void aStepCountsUpToTheLongestOneOfARunningProcess(long gapMicros, long countedMicros) {
    RunningClock clock = new RunningClock();
    clock.onEvent(START_MICROS);
    long before = clock.at(START_MICROS);
    clock.onEvent(START_MICROS + gapMicros);
    assertThat(clock.at(START_MICROS + gapMicros) - before).isEqualTo(countedMicros);
  }
}
