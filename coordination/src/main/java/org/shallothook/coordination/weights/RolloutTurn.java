package org.shallothook.coordination.weights;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.shallothook.coordination.message.PeerMessage.SidecarStatus;
import org.shallothook.coordination.placement.RendezvousHash;

/**
 * When a server of a service loads a new version, so that few do at the same time.
 *
 * <p>Pattern answered: loads slow each other down and take servers away from callers. Every sidecar
 * ranks the same servers by the same hash, tells the others when it takes its server away, and
 * waits while as many as may are away; nobody waits beyond its part of the time that all have
 * together.
 *
 * <p>Invariant: a turn comes for every server, whatever is heard of others. Not thread-safe.
 */
final class RolloutTurn {
  /** Part of the servers of a service that may be away at once. */
  private static final int PART_AT_ONCE = 3;

  private static final int LEAST_AT_ONCE = 2;

  /** Time between the starts of two groups, at least, in microseconds. */
  private static final long GROUP_MICROS = 300_000;

  /** Time after which the last server starts, whatever is heard of others, in microseconds. */
  private static final long LAST_START_MICROS = 4_500_000;

  /** Time after which the word of a sidecar counts no more, in microseconds. */
  private static final long HEARD_VALID_MICROS = 2_500_000;

  private final Map<String, Long> awayHeardAtMicros = new HashMap<>();

  /** Takes in what another sidecar has told. */
  void onStatus(SidecarStatus status, long nowMicros) {
    if (status.ready().isEmpty()) {
      awayHeardAtMicros.put(status.upstream(), nowMicros);
    } else {
      awayHeardAtMicros.remove(status.upstream());
    }
  }

  /**
   * Returns whether a server may be taken away now.
   *
   * @param server identity of the server
   * @param servers identities of all servers of its service
   * @param version version that was named, so that no server always goes last
   * @param namedAtMicros when it was named
   */
  boolean hasCome(
      String server, Collection<String> servers, long version, long namedAtMicros, long nowMicros) {
    Comparator<String> byHash =
        Comparator.comparingLong(id -> RendezvousHash.combine(version, RendezvousHash.hashOf(id)));
    List<String> order = servers.stream().sorted(byHash).toList();
    int atOnce = Math.max(LEAST_AT_ONCE, (order.size() + PART_AT_ONCE - 1) / PART_AT_ONCE);
    int rank = Math.max(0, order.indexOf(server));
    long age = nowMicros - namedAtMicros;
    long latest = LAST_START_MICROS * (rank + 1) / Math.max(1, order.size());
    boolean isGroupsTurn = age >= rank / atOnce * GROUP_MICROS;
    boolean isFree = away(server, nowMicros) < atOnce;
    return age >= latest || (isGroupsTurn && isFree);
  }

  private long away(String server, long nowMicros) {
    return awayHeardAtMicros.entrySet().stream()
        .filter(entry -> !entry.getKey().equals(server))
        .filter(entry -> nowMicros - entry.getValue() < HEARD_VALID_MICROS)
        .count();
  }
}
