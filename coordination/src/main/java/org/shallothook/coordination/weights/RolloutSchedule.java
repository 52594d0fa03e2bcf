package org.shallothook.coordination.weights;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.shallothook.coordination.message.PeerMessage.SidecarStatus;
import org.shallothook.coordination.placement.RendezvousHash;
import org.shallothook.state.cache.ModelVersion;
import org.shallothook.state.log.WrittenTime;
import org.shallothook.state.route.ServerEntry;
import org.shallothook.state.route.WeightVersion;

/**
 * Decides when a server of a service is taken out of rotation to load a new version.
 *
 * <p>Handles a new version for all servers at once: loads slow each other down, and a load waits
 * until the running streams have ended, so many concurrent loads make most servers unavailable for
 * seconds. Every sidecar ranks the servers of the service by the same hash and announces its status
 * to the others, so that a free slot goes only to the next server in rank that lacks the version.
 * Each rank has a latest start, and these are spread evenly over the time available for the
 * rollout. That time ends a while after operators set the version, whenever this process learned of
 * it; if little or nothing of it is left, the starts are spread over a short time.
 *
 * <p>Invariant: every server may start at its latest start, whatever statuses are received. Not
 * thread-safe.
 */
final class RolloutSchedule {
  /** One server in this many may load at a time; more concurrent loads slow each other down. */
  private static final int SERVERS_PER_CONCURRENT_LOAD = 4;

  /** Fraction of the time limit for new versions by which the last server starts. */
  private static final double LAST_START_FRACTION = 0.75;

  /** Time over which the starts of an overdue rollout are spread, in microseconds. */
  private static final long OVERDUE_ROLLOUT_MICROS = 3_000_000;

  /** Time after which a status that reports an unavailable server is ignored. */
  private static final long STATUS_VALIDITY_MICROS = 2_500_000;

  private final long lastStartMicros;
  private final Map<String, ReceivedStatus> receivedStatuses = new HashMap<>();

  private record ReceivedStatus(SidecarStatus status, long receivedAtMicros) {
    private boolean isUnavailable(long nowMicros) {
      return status.ready().isEmpty() && nowMicros - receivedAtMicros < STATUS_VALIDITY_MICROS;
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
   * The rollout of a version to a server that lacks it.
   *
   * @param serverId identity of the server
   * @param servers entries of all servers of its service, including its own
   * @param desired model and version to load
   * @param time when the servers start
   */
  record Rollout(
      String serverId, Collection<ServerEntry> servers, WeightVersion desired, RolloutTime time) {
    private List<ServerEntry> rankedServers() {
      Comparator<ServerEntry> byHash =
          Comparator.comparingLong(
              entry ->
                  RendezvousHash.combine(desired.version(), RendezvousHash.hashOf(entry.id())));
      return servers.stream().sorted(byHash).toList();
    }
  }

  /**
   * When the servers of a rollout start.
   *
   * @param firstStartMicros when the first may start
   * @param lastStartMicros when the last starts at the latest
   */
  record RolloutTime(long firstStartMicros, long lastStartMicros) {
    private long latestStartMicros(int rank, int serverCount) {
      return firstStartMicros + (lastStartMicros - firstStartMicros) * (rank + 1) / serverCount;
    }
  }

  /**
   * Where a server stands in a rollout.
   *
   * @param serverCount servers of the service
   * @param rank servers before this one by rank
   * @param loadingCount servers that load now
   * @param waitingBefore servers before this one that lack the version and do not load
   */
  private record Queue(int serverCount, int rank, int loadingCount, int waitingBefore) {
    private int slots() {
      return Math.max(1, serverCount / SERVERS_PER_CONCURRENT_LOAD);
    }
  }

  /**
   * Creates a schedule without any status of other servers.
   *
   * @param boundMicros time after which no request may begin on older weights, in microseconds
   */
  RolloutSchedule(long boundMicros) {
    lastStartMicros = (long) (LAST_START_FRACTION * boundMicros);
  }

  /**
   * Returns the time of a rollout that this process learns of now.
   *
   * @param written what is known of the time at which operators have set the version
   */
  RolloutTime timeOf(WrittenTime written, long nowMicros) {
    long overdueStartMicros = nowMicros + OVERDUE_ROLLOUT_MICROS;
    return new RolloutTime(
        nowMicros,
        written
            .afterMicros()
            .map(micros -> Math.max(micros + lastStartMicros, overdueStartMicros))
            .orElse(overdueStartMicros));
  }

  /** Records the status announced by another sidecar. */
  void onStatus(SidecarStatus status, long nowMicros) {
    receivedStatuses.put(status.upstream(), new ReceivedStatus(status, nowMicros));
  }

  /**
   * Returns whether a server may be taken out of rotation now. Servers that are down occupy no
   * slot.
   */
  boolean mayStart(Rollout rollout, long nowMicros) {
    return mayStart(queueOf(rollout, nowMicros), rollout.time(), nowMicros);
  }

  private static boolean mayStart(Queue queue, RolloutTime time, long nowMicros) {
    boolean hasFreeSlot = queue.loadingCount() + queue.waitingBefore() < queue.slots();
    return hasFreeSlot || nowMicros >= time.latestStartMicros(queue.rank(), queue.serverCount());
  }

  /**
   * Returns whether a slot is free that a server may not take, as it is kept for servers before it.
   * If that lasts, these servers do not start, as they may have left.
   */
  boolean isSlotUnused(Rollout rollout, long nowMicros) {
    Queue queue = queueOf(rollout, nowMicros);
    return queue.loadingCount() < queue.slots() && !mayStart(queue, rollout.time(), nowMicros);
  }

  private Queue queueOf(Rollout rollout, long nowMicros) {
    List<ServerEntry> ranked = rollout.rankedServers();
    int serverCount = Math.max(1, ranked.size());
    int rank = 0;
    int waitingBefore = 0;
    int loadingCount = 0;
    boolean isBefore = true;
    for (ServerEntry other : ranked) {
      if (other.id().equals(rollout.serverId())) {
        isBefore = false;
        continue;
      }
      rank += isBefore ? 1 : 0;
      ReceivedStatus status = receivedStatuses.get(other.id());
      boolean isUnavailable = status != null && status.isUnavailable(nowMicros);
      boolean isDown = isUnavailable && status.status().engineIncarnation().isEmpty();
      loadingCount += isUnavailable && !isDown ? 1 : 0;
      waitingBefore +=
          isBefore && !isUnavailable && lacksVersion(other, status, rollout.desired()) ? 1 : 0;
    }
    return new Queue(serverCount, rank, loadingCount, waitingBefore);
  }

  private static boolean lacksVersion(
      ServerEntry server, ReceivedStatus status, WeightVersion desired) {
    long listed = server.versions().getOrDefault(desired.model(), 0L);
    long reported = status == null ? 0 : status.versionOf(desired.model());
    return Math.max(listed, reported) < desired.version();
  }
}
