package org.shallothook.state.configuration;

import java.util.Set;

/**
 * A plain service that a team may call.
 *
 * <p>Invariant: a path is repeatable only when listed. Immutable and thread-safe.
 *
 * @param name name of the service
 * @param repeatablePaths paths whose calls may be repeated
 * @param checksFencing whether the service refuses calls with an old fencing number
 */
public record ServiceTemplate(String name, Set<String> repeatablePaths, boolean checksFencing) {
  public ServiceTemplate {
    repeatablePaths = Set.copyOf(repeatablePaths);
  }

  /** Returns whether calls to the path may be repeated. */
  public boolean isRepeatable(String path) {
    return repeatablePaths.contains(path);
  }
}
