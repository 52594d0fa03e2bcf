package org.shallothook.state.route;

import java.util.Map;
import java.util.Objects;

/**
 * What a server says of itself in the registry.
 *
 * <p>Immutable and thread-safe.
 *
 * @param id identity of one life of the server, or of several if it starts again under it
 * @param service service that it belongs to
 * @param address {@code IP:port} that it serves on
 * @param failureDomain failure domain that it stands in
 * @param slots requests that it runs at once
 * @param isLeaving whether it takes no new work
 * @param versions weights version of each model that it serves
 * @param startedAtMillis start of this life, in milliseconds since the epoch; 0 where not said
 */
public record ServerEntry(
    String id,
    String service,
    String address,
    String failureDomain,
    int slots,
    boolean isLeaving,
    Map<String, Long> versions,
    long startedAtMillis) {
  public ServerEntry {
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(address, "address");
    versions = Map.copyOf(versions);
  }

  /** Returns the entry with another word on whether the server is leaving. */
  public ServerEntry withLeaving(boolean leaves) {
    return new ServerEntry(
        id, service, address, failureDomain, slots, leaves, versions, startedAtMillis);
  }
}
