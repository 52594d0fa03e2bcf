package org.shallothook.benchmarks.load;

/**
 * Exact two-sided permutation test on paired differences: how often would a sum as far from zero
 * come about if the two members of each pair were exchanged at random?
 *
 * <p>Stateless and thread-safe.
 */
final class PermutationTest {
  /** Greatest number of pairs; every exchange of them is gone through. */
  static final int MAXIMUM_PAIRS = 20;

  private PermutationTest() {}

  /**
   * Returns the share of all exchanges whose sum is at least as far from zero.
   *
   * @param differences one for each pair, at least one and at most {@link #MAXIMUM_PAIRS}
   * @throws IllegalArgumentException if there are none or too many
   */
  static double probability(double[] differences) {
    if (differences.length == 0 || differences.length > MAXIMUM_PAIRS) {
      throw new IllegalArgumentException(
          "Give 1 to " + MAXIMUM_PAIRS + " pairs, not " + differences.length + ".");
    }
    double scale = 0;
    double seen = 0;
    for (double difference : differences) {
      scale += Math.abs(difference);
      seen += difference;
    }
    // Sums of the same numbers in another order differ by rounding.
    double threshold = Math.abs(seen) - scale * 1e-12;
    int exchanges = 1 << differences.length;
    int asFar = 0;
    for (int exchanged = 0; exchanged < exchanges; exchanged++) {
      asFar += Math.abs(sum(differences, exchanged)) >= threshold ? 1 : 0;
    }
    return (double) asFar / exchanges;
  }

  private static double sum(double[] differences, int exchanged) {
    double sum = 0;
    for (int pair = 0; pair < differences.length; pair++) {
      boolean isExchanged = (exchanged >> pair & 1) == 1;
      sum += isExchanged ? -differences[pair] : differences[pair];
    }
    return sum;
  }
}
