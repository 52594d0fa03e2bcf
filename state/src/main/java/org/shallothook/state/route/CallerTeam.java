package org.shallothook.state.route;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * A team that may send requests, with its API keys.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name name of the team
 * @param keys API keys that its callers may present
 * @param priority priority of its requests, 0 the highest; overrides the priority of the route
 * @param isIsolated whether its cached prompt parts must not be shared with other teams
 * @param allowance what it may send; empty if that is not limited
 */
public record CallerTeam(
    String name,
    List<String> keys,
    Optional<Integer> priority,
    boolean isIsolated,
    Optional<TeamAllowance> allowance) {
  public CallerTeam {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(allowance, "allowance");
    keys = List.copyOf(keys);
  }
}
