package org.shallothook.state.membership;

import java.util.List;

/**
 * A version of the platform's instance list, which lags behind the actual state of the instances.
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
