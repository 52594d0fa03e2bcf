package org.shallothook.benchmarks.load;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class PermutationTestTest {
  private static final double TOLERANCE = 1e-12;

  @Test
  void differencesOfOneSignAreAsFarInTwoExchangesAlone() {
    double[] differences = {1, 2, 3, 4, 5, 6, 7, 8};

    assertThat(PermutationTest.probability(differences)).isWithin(TOLERANCE).of(2.0 / 256);
  }

  @Test
  void exchangesAreCountedExactly() {
    // Sums of 1, 2 and -4 under all exchanges: 7, 5, 3, 1 and their opposites; seen is -1.
    assertThat(PermutationTest.probability(new double[] {1, 2, -4})).isWithin(TOLERANCE).of(1);
    // Seen is 5; 5 and 7 are as far, with both signs.
    assertThat(PermutationTest.probability(new double[] {-1, 2, 4})).isWithin(TOLERANCE).of(0.5);
  }

  @Test
  void noDifferenceIsNeverFar() {
    assertThat(PermutationTest.probability(new double[6])).isWithin(TOLERANCE).of(1);
  }

  @ParameterizedTest
  @ValueSource(doubles = {0, 5})
  void aShiftIsToldFromNoiseAndNoiseIsNot(double shift) {
    int found = 0;
    Random random = new Random(20_261_204);
    for (int round = 0; round < 400; round++) {
      double[] differences = new double[8];
      for (int pair = 0; pair < differences.length; pair++) {
        differences[pair] = shift + random.nextGaussian();
      }
      found += PermutationTest.probability(differences) <= 0.05 ? 1 : 0;
    }

    if (shift == 0) {
      assertThat(found).isAtMost(400 / 10);
    } else {
      assertThat(found).isEqualTo(400);
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {0, 21})
  void noPairsOrTooManyAreRefused(int pairs) {
    assertThrows(
        IllegalArgumentException.class, () -> PermutationTest.probability(new double[pairs]));
  }
}
