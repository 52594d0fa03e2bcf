package org.shallothook.state.route;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * A team that may send requests, with its keys.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name name of the team
 * @param keys keys that its callers may present
 * @param priority rank of its requests, 0 the highest; goes before the rank of the route
 * @param isIsolated whether no cached part may be shared with another team
 */
public record CallerTeam(
    String name, List<String> keys, Optional<Integer> priority, boolean isIsolated) {
  public CallerTeam {
    Objects.requireNonNull(name, "name");
    keys = List.copyOf(keys);
  }
}
