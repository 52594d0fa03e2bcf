package org.shallothook.state.membership;

import java.util.List;

/**
 * A reading of the platform's list of instances, which lags behind reality.
 *
 * <p>Immutable and thread-safe.
 *
 * @param version version of the list, for conditional reads
 * @param instances instances in the list
 */
public record InstanceList(long version, List<Instance> instances) {
  public InstanceList {
    instances = List.copyOf(instances);
  }
}
