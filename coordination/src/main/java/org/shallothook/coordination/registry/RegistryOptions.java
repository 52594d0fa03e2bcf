package org.shallothook.coordination.registry;

import java.util.Map;
import org.shallothook.state.membership.Instance;

/**
 * Settings of the registry part of a process.
 *
 * <p>Immutable and thread-safe.
 *
 * @param self this process, as others reach it
 * @param policies how eagerly each stream is followed
 * @param seed seed of random choices
 */
public record RegistryOptions(
    Instance self, Map<RegistryStream, FollowPolicy> policies, long seed) {
  public RegistryOptions {
    policies = Map.copyOf(policies);
  }
}
