package org.shallothook.state.configuration;

import java.util.Set;

/**
 * Configuration of a plain service that a team may call.
 *
 * <p>Invariant: only calls to listed paths are repeatable. Immutable and thread-safe.
 *
 * @param name name of the service
 * @param repeatablePaths paths whose calls may be repeated
 * @param checksFencing whether the service refuses calls with an outdated fencing token
 */
public record ServiceTemplate(String name, Set<String> repeatablePaths, boolean checksFencing) {
  public ServiceTemplate {
    repeatablePaths = Set.copyOf(repeatablePaths);
  }

  /** Returns whether calls to a path may be repeated. */
  public boolean isRepeatable(String path) {
    return repeatablePaths.contains(path);
  }
}
