package org.shallothook.state.membership;

import java.util.Objects;

/**
 * A live or leaving instance, as listed by the platform.
 *
 * <p>The address is that on which the router, or the sidecar next to an upstream, listens for
 * connections from its peers.
 *
 * <p>Invariant: names are unique in a list. Immutable and thread-safe.
 *
 * @param name name of the instance
 * @param role role in the fleet
 * @param address peer address, {@code IP:port}
 * @param failureDomain failure domain of the instance
 * @param region region of the failure domain
 * @param service name of the service; empty unless the role is {@link InstanceRole#SERVICE}
 * @param isLeaving whether the list marks the instance as leaving
 */
public record Instance(
    String name,
    InstanceRole role,
    String address,
    String failureDomain,
    String region,
    String service,
    boolean isLeaving) {
  public Instance {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(role, "role");
    Objects.requireNonNull(address, "address");
    Objects.requireNonNull(failureDomain, "failureDomain");
    Objects.requireNonNull(region, "region");
    Objects.requireNonNull(service, "service");
  }
}
