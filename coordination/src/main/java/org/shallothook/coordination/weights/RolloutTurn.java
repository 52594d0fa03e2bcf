package org.shallothook.coordination.weights;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import org.shallothook.coordination.message.PeerMessage.SidecarStatus;
import org.shallothook.coordination.placement.RendezvousHash;
import org.shallothook.state.route.WeightVersion;

/**
 * When a server of a service is taken away from callers to load a new version.
 *
 * <p>Pattern answered: a load waits until the streams that run have ended, so a server is away for
 * longer than the load takes. A few are away at a time, servers that are down not among them. Every
 * sidecar ranks the same servers by the same hash and tells the others what it does; nobody waits
 * beyond its part of the time that all have together.
 *
 * <p>Invariant: a turn comes for every server, whatever is heard of others. Not thread-safe.
 */
final class RolloutTurn {
  /** Part of the servers that may be away at once. */
  private static final int PART_AT_ONCE = 3;

  private static final int LEAST_AT_ONCE = 2;

  /** Time between the starts of two groups, at least, in microseconds. */
  private static final long GROUP_MICROS = 300_000;

  /** Time after which the last server is taken away, whatever is heard, in microseconds. */
  private static final long LAST_START_MICROS = 5_000_000;

  /** Time after which the word of a sidecar that its server is away counts no more. */
  private static final long HEARD_VALID_MICROS = 2_500_000;

  private final Map<String, Heard> heard = new HashMap<>();

  private record Heard(SidecarStatus status, long atMicros) {}

  /** A version that a server lacks. */
  record Rollout(
      String server, Collection<String> servers, WeightVersion wanted, long namedAtMicros) {
    private int rank() {
      Comparator<String> byHash =
          Comparator.comparingLong(
              id -> RendezvousHash.combine(wanted.version(), RendezvousHash.hashOf(id)));
      return Math.max(0, servers.stream().sorted(byHash).toList().indexOf(server));
    }
  }

  /** Takes in what another sidecar has told. */
  void onStatus(SidecarStatus status, long nowMicros) {
    heard.put(status.upstream(), new Heard(status, nowMicros));
  }

  /** Returns whether a server may be taken away now. */
  boolean hasCome(Rollout rollout, long nowMicros) {
    int all = rollout.servers().size();
    int live = Math.max(1, all - count(rollout, nowMicros, true));
    int atOnce = Math.max(LEAST_AT_ONCE, (live + PART_AT_ONCE - 1) / PART_AT_ONCE);
    int rank = rollout.rank();
    long age = nowMicros - rollout.namedAtMicros();
    boolean isGroupsTurn = age >= rank / atOnce * GROUP_MICROS;
    boolean isFree = count(rollout, nowMicros, false) < Math.min(atOnce, live);
    boolean isLate = age >= LAST_START_MICROS * (rank + 1) / Math.max(1, all);
    return isLate || (isGroupsTurn && isFree);
  }

  /** Counts other servers that take no work: down ones, or those that are away for a load. */
  private int count(Rollout rollout, long nowMicros, boolean isDown) {
    int found = 0;
    for (String server : rollout.servers()) {
      Heard one = heard.get(server);
      boolean isCurrent = one != null && nowMicros - one.atMicros() < HEARD_VALID_MICROS;
      if (isCurrent && !server.equals(rollout.server()) && one.status().ready().isEmpty()) {
        found += one.status().engineIncarnation().isEmpty() == isDown ? 1 : 0;
      }
    }
    return found;
  }
}
