package org.shallothook.state.membership;

import java.util.Objects;

/**
 * One live or leaving instance, as the platform's instance list names it.
 *
 * <p>The address is where the system's own process of the instance (router, or sidecar beside the
 * upstream) listens for its peers.
 *
 * <p>Invariant: names are unique in a list. Immutable and thread-safe.
 *
 * @param name name of the instance
 * @param role role in the fleet
 * @param address peer address, {@code IP:port}
 * @param failureDomain failure domain that the instance stands in
 * @param region region that the failure domain belongs to
 * @param service name of the service for {@link InstanceRole#SERVICE}, or the empty string
 * @param isLeaving whether the list says that the instance is leaving
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
