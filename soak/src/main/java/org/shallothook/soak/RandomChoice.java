package org.shallothook.soak;

import java.util.List;
import java.util.SplittableRandom;

/**
 * Random selection from a list, reproducible with a seeded generator.
 *
 * <p>Stateless and thread-safe.
 */
final class RandomChoice {
  private RandomChoice() {}

  /** Returns a random element of a non-empty list. */
  static <T> T oneOf(List<T> all, SplittableRandom random) {
    return all.get(random.nextInt(all.size()));
  }
}
