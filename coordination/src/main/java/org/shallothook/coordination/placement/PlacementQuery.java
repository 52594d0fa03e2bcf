package org.shallothook.coordination.placement;

import java.util.List;
import java.util.function.ToIntFunction;

/**
 * Input of a placement policy for one request.
 *
 * <p>Immutable except for the state of the candidates, and thread-safe if they are.
 *
 * @param candidates upstreams that can take the request, in any order
 * @param levels prefix levels of the prompt, deepest first, at least one
 * @param spread returns the number of ranks that a level is spread over, at least 1
 * @param sequence sequence number of this placement within the router
 * @param random random number for this placement, from a seeded source
 */
public record PlacementQuery(
    List<? extends PlacementCandidate> candidates,
    List<PrefixLevel> levels,
    ToIntFunction<PrefixLevel> spread,
    long sequence,
    long random) {
  public PlacementQuery {
    if (levels.isEmpty()) {
      throw new IllegalArgumentException("A placement query needs at least one prefix level.");
    }
  }
}
