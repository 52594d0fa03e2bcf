package org.shallothook.coordination.registry;

import java.util.Map;
import org.shallothook.state.log.RecordVersions;
import org.shallothook.state.membership.Instance;

/**
 * Options of a {@link RegistryCore}.
 *
 * <p>Immutable and thread-safe.
 *
 * @param self membership record of this process
 * @param policies streams to follow, and how often to read each
 * @param versions orders the values of a key in each stream where offsets cannot
 * @param seed seed of random choices
 */
public record RegistryOptions(
    Instance self,
    Map<RegistryStream, PollingPolicy> policies,
    Map<RegistryStream, RecordVersions> versions,
    long seed) {
  public RegistryOptions {
    policies = Map.copyOf(policies);
    versions = Map.copyOf(versions);
  }
}
