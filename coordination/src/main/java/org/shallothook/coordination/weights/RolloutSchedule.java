package org.shallothook.coordination.weights;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.shallothook.coordination.message.PeerMessage.SidecarStatus;
import org.shallothook.coordination.placement.RendezvousHash;
import org.shallothook.state.cache.ModelVersion;
import org.shallothook.state.route.ServerEntry;
import org.shallothook.state.route.WeightVersion;

/**
 * When a server of a service is taken away from callers to load a new version.
 *
 * <p>Pattern answered: loads slow each other down, and a load waits until the streams that run have
 * ended, so many at once take most servers away for seconds. Every sidecar ranks the servers that
 * lack the version by the same hash and tells the others what it does; a place that becomes free is
 * taken by the next in rank alone. Nobody waits beyond its part of the time that all have together.
 *
 * <p>Invariant: a turn comes for every server, whatever is heard of others. Not thread-safe.
 */
final class RolloutSchedule {
  /** Part of the servers that may be away at once; more slow each other's loads down. */
  private static final int PART_AT_ONCE = 4;

  /** Part of the bound for new versions by which the last server is taken away. */
  private static final double LAST_START_PART = 0.75;

  /** Time after which the word of a sidecar that its server is away counts no more. */
  private static final long HEARD_VALID_MICROS = 2_500_000;

  private final long lastStartMicros;
  private final Map<String, Heard> heard = new HashMap<>();

  private record Heard(SidecarStatus status, long atMicros) {
    private boolean isAway(long nowMicros) {
      return status.ready().isEmpty() && nowMicros - atMicros < HEARD_VALID_MICROS;
    }

    private long versionOf(String model) {
      return status.ready().stream()
          .filter(ready -> ready.model().equals(model))
          .map(ModelVersion::version)
          .mapToLong(Long::parseLong)
          .max()
          .orElse(0);
    }
  }

  /**
   * A version that a server lacks.
   *
   * @param server identity of the server
   * @param servers entries of all servers of its service, its own among them
   * @param wanted the version
   * @param namedAtMicros time at which the version became known here
   */
  record Rollout(
      String server, Collection<ServerEntry> servers, WeightVersion wanted, long namedAtMicros) {
    private List<ServerEntry> ranked() {
      Comparator<ServerEntry> byHash =
          Comparator.comparingLong(
              entry -> RendezvousHash.combine(wanted.version(), RendezvousHash.hashOf(entry.id())));
      return servers.stream().sorted(byHash).toList();
    }
  }

  /**
   * Creates a turn that has heard nothing.
   *
   * @param boundMicros time after which no request may begin on older weights, in microseconds
   */
  RolloutSchedule(long boundMicros) {
    lastStartMicros = (long) (LAST_START_PART * boundMicros);
  }

  /** Takes in what another sidecar has told. */
  void onStatus(SidecarStatus status, long nowMicros) {
    heard.put(status.upstream(), new Heard(status, nowMicros));
  }

  /** Returns whether a server may be taken away now. */
  boolean hasCome(Rollout rollout, long nowMicros) {
    List<ServerEntry> ranked = rollout.ranked();
    int all = Math.max(1, ranked.size());
    int rank = 0;
    int before = 0;
    int loading = 0;
    boolean isBefore = true;
    for (ServerEntry other : ranked) {
      if (other.id().equals(rollout.server())) {
        isBefore = false;
        continue;
      }
      rank += isBefore ? 1 : 0;
      Heard word = heard.get(other.id());
      boolean isAway = word != null && word.isAway(nowMicros);
      boolean isDown = isAway && word.status().engineIncarnation().isEmpty();
      loading += isAway && !isDown ? 1 : 0;
      before += isBefore && !isAway && lacks(other, word, rollout.wanted()) ? 1 : 0;
    }
    boolean isFree = loading + before < Math.max(1, all / PART_AT_ONCE);
    boolean isLate = nowMicros - rollout.namedAtMicros() >= lastStartMicros * (rank + 1) / all;
    return isFree || isLate;
  }

  private static boolean lacks(ServerEntry server, Heard word, WeightVersion wanted) {
    long listed = server.versions().getOrDefault(wanted.model(), 0L);
    long told = word == null ? 0 : word.versionOf(wanted.model());
    return Math.max(listed, told) < wanted.version();
  }
}
