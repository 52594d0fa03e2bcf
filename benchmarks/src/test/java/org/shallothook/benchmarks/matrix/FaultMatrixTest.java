package org.shallothook.benchmarks.matrix;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

final class FaultMatrixTest {

  static List<FaultInjection> singles() {
    return FaultMatrix.singles();
  }

  static List<List<FaultInjection>> pairs() {
    return FaultMatrix.pairs();
  }

  @Test
  void sceneWithoutFaultsHolds() {
    assertHeld(List.of());
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("singles")
  void singleFaultHolds(FaultInjection injection) {
    assertHeld(List.of(injection));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("singles")
  void repeatedFaultHolds(FaultInjection injection) {
    assertHeld(FaultMatrix.repeated(injection));
  }

  @ParameterizedTest
  @EnumSource
  void priorityHoldsOverFullQueuesUnder(Fault fault) {
    ScenarioResult result =
        Scenario.overloaded(FaultMatrix.underFullQueues(fault), FaultMatrix.SEED).run();
    assertThat(result.violations()).isEmpty();
    assertThat(result.pending()).isEmpty();
  }

  @ParameterizedTest
  @EnumSource
  void regionsThatPartHoldThoughThePlatformIsReachedFromOneOnly(
      RegionPartitionScenario.Side connected) {
    assertThat(new RegionPartitionScenario(connected, FaultMatrix.SEED).run()).isEmpty();
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("pairs")
  void pairOfFaultsHolds(List<FaultInjection> injections) {
    assertHeld(injections);
  }

  private static void assertHeld(List<FaultInjection> injections) {
    ScenarioResult result = new Scenario(injections, FaultMatrix.SEED).run();
    assertThat(result.violations()).isEmpty();
    assertThat(result.pending()).isEmpty();
  }
}
