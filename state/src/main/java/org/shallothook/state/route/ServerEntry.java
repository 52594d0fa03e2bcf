package org.shallothook.state.route;

import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * A server's registration in the registry.
 *
 * <p>Immutable and thread-safe.
 *
 * @param id identity of one incarnation of the server, or of several if it restarts with the same
 *     identity
 * @param service service that it belongs to
 * @param address {@code IP:port} on which it accepts requests
 * @param failureDomain failure domain of the server
 * @param slots number of requests that it runs concurrently
 * @param isLeaving whether it accepts no new work
 * @param versions weights version of each model that it serves
 * @param startedAtMillis start of this incarnation, in milliseconds since the epoch; 0 if unknown
 * @param softwareVersion version of the server's software, which is unrelated to that of its
 *     weights; empty if it is missing or unreadable
 */
public record ServerEntry(
    String id,
    String service,
    String address,
    String failureDomain,
    int slots,
    boolean isLeaving,
    Map<String, Long> versions,
    long startedAtMillis,
    Optional<String> softwareVersion) {
  public ServerEntry {
    Objects.requireNonNull(id, "id");
    Objects.requireNonNull(address, "address");
    Objects.requireNonNull(softwareVersion, "softwareVersion");
    versions = Map.copyOf(versions);
  }

  /** Returns a copy of the entry with the given leaving state. */
  public ServerEntry withLeaving(boolean leaves) {
    return new ServerEntry(
        id,
        service,
        address,
        failureDomain,
        slots,
        leaves,
        versions,
        startedAtMillis,
        softwareVersion);
  }
}
