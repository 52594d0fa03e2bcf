package org.shallothook.coordination.placement;

import java.util.List;
import java.util.function.ToIntFunction;

/**
 * What a policy may base a placement on.
 *
 * <p>Immutable; as thread-safe as the candidates in it.
 *
 * @param candidates upstreams that can take the request, in any order
 * @param levels levels of sharing, deepest first, at least one
 * @param spread number of ranks that a level is spread over, at least 1
 * @param sequence number of this placement within the router
 * @param random seeded random number of this placement
 */
public record PlacementQuery(
    List<? extends PlacementCandidate> candidates,
    List<PrefixLevel> levels,
    ToIntFunction<PrefixLevel> spread,
    long sequence,
    long random) {
  public PlacementQuery {
    if (levels.isEmpty()) {
      throw new IllegalArgumentException("A prompt has at least one level.");
    }
  }
}
