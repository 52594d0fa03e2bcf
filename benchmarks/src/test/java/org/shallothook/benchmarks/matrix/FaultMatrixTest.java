package org.shallothook.benchmarks.matrix;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;

final class FaultMatrixTest {

  static List<Strike> singles() {
    return FaultMatrix.singles();
  }

  static List<List<Strike>> pairs() {
    return FaultMatrix.pairs();
  }

  @Test
  void sceneWithoutFaultsHolds() {
    assertHeld(List.of());
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("singles")
  void singleFaultHolds(Strike strike) {
    assertHeld(List.of(strike));
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("singles")
  void repeatedFaultHolds(Strike strike) {
    assertHeld(FaultMatrix.repeated(strike));
  }

  @ParameterizedTest
  @EnumSource
  void priorityHoldsOverFullQueuesUnder(Fault fault) {
    SceneResult result = Scene.crowded(FaultMatrix.crowded(fault), FaultMatrix.SEED).run();
    assertThat(result.violations()).isEmpty();
    assertThat(result.pending()).isEmpty();
  }

  @ParameterizedTest
  @EnumSource
  void regionsThatPartHoldThoughThePlatformIsReachedFromOneOnly(PartingScene.Side connected) {
    assertThat(new PartingScene(connected, FaultMatrix.SEED).run()).isEmpty();
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("pairs")
  void pairOfFaultsHolds(List<Strike> strikes) {
    assertHeld(strikes);
  }

  private static void assertHeld(List<Strike> strikes) {
    SceneResult result = new Scene(strikes, FaultMatrix.SEED).run();
    assertThat(result.violations()).isEmpty();
    assertThat(result.pending()).isEmpty();
  }
}
