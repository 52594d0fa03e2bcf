package org.shallothook.coordination.weights;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.shallothook.coordination.placement.RendezvousHash;

/**
 * When a server of a service loads a new version, so that few do at the same time.
 *
 * <p>Pattern answered: loads slow each other down and take servers away from callers. Every sidecar
 * ranks the same servers by the same hash and waits for its rank, which needs no agreement.
 *
 * <p>Stateless and thread-safe.
 */
final class RolloutTurn {
  /** Part of the servers of a service that may load at once. */
  private static final int PART_AT_ONCE = 4;

  private static final int LEAST_AT_ONCE = 2;

  /** Time that is planned for one load, with the end of the requests that run before it. */
  private static final long LOAD_MICROS = 1_000_000;

  private RolloutTurn() {}

  /**
   * Returns how long a server waits after a version was named.
   *
   * @param server identity of the server
   * @param servers identities of all servers of its service
   * @param version version that was named, so that no server always goes last
   */
  static long delayMicros(String server, Collection<String> servers, long version) {
    Comparator<String> byHash =
        Comparator.comparingLong(id -> RendezvousHash.combine(version, RendezvousHash.hashOf(id)));
    List<String> order = servers.stream().sorted(byHash).toList();
    int atOnce = Math.max(LEAST_AT_ONCE, (order.size() + PART_AT_ONCE - 1) / PART_AT_ONCE);
    int rank = Math.max(0, order.indexOf(server));
    return rank / atOnce * LOAD_MICROS;
  }
}
