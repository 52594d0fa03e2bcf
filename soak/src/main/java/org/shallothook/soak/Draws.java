package org.shallothook.soak;

import java.util.List;
import java.util.SplittableRandom;

/**
 * Draws with a seed.
 *
 * <p>Stateless and thread-safe.
 */
final class Draws {
  private Draws() {}

  /** Returns one of the elements of a list that is not empty. */
  static <T> T oneOf(List<T> all, SplittableRandom random) {
    return all.get(random.nextInt(all.size()));
  }
}
