package org.shallothook.coordination.forward;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.shallothook.coordination.message.PeerMessage.SidecarStatus;
import org.shallothook.state.route.ServerEntry;

/**
 * Holds all servers known to a forwarding router.
 *
 * <p>Handles registry outages: entries expire during an outage and are registered again soon after
 * it. A removal that is read during an outage or after it therefore takes effect at a fixed time
 * after the end of the outage, or immediately if that time has passed.
 *
 * <p>Invariant: a leaving server is never usable again in the same incarnation; one whose removal
 * has taken effect only if its entry returns. Not thread-safe.
 */
final class ServerDirectory {
  /**
   * Time after the end of an outage after which the registry guarantees that entries which expired
   * during it are back, in microseconds.
   */
  private static final long REREGISTRATION_MICROS = 2_000_000;

  private final Map<String, Server> servers = new LinkedHashMap<>();
  private boolean isReachable = true;

  /** Earliest time at which a removal takes effect; {@link Long#MAX_VALUE} during an outage. */
  private long removalsEffectiveMicros = Long.MIN_VALUE;

  Optional<Server> find(String id) {
    return Optional.ofNullable(servers.get(id));
  }

  Collection<Server> all() {
    return servers.values();
  }

  /** Returns the usable servers of a service. */
  List<Server> usable(String service, long nowMicros) {
    List<Server> usable = new ArrayList<>();
    for (Server server : servers.values()) {
      if (server.entry().service().equals(service) && server.isUsable(nowMicros)) {
        usable.add(server);
      }
    }
    return usable;
  }

  /** Returns whether any of the usable servers of a service states a limit or has a window. */
  boolean hasLimited(String service, long nowMicros) {
    return servers.values().stream()
        .filter(server -> server.limit().isPresent() || server.isPaced())
        .anyMatch(server -> server.entry().service().equals(service) && server.isUsable(nowMicros));
  }

  /** Returns whether a service has a listed server that fulfils a condition. */
  boolean hasListed(String service, Predicate<Server> condition, long nowMicros) {
    return servers.values().stream()
        .filter(server -> server.entry().service().equals(service))
        .anyMatch(server -> server.isListed(nowMicros) && condition.test(server));
  }

  /**
   * Returns when the first server of a service that fulfils a condition reopens, if all of them
   * that are not leaving are closed at their own request.
   */
  Optional<Long> reopensAtMicros(String service, Predicate<Server> condition, long nowMicros) {
    List<Optional<Long>> listed =
        servers.values().stream()
            .filter(server -> server.entry().service().equals(service))
            .filter(server -> !server.entry().isLeaving())
            .filter(condition)
            .map(server -> server.reopensAtMicros(nowMicros))
            .toList();
    return listed.stream().allMatch(Optional::isPresent)
        ? listed.stream().flatMap(Optional::stream).min(Long::compare)
        : Optional.empty();
  }

  /** Applies registry entries and returns the identities of servers that have restarted. */
  List<String> onEntries(List<ServerEntry> entries) {
    List<String> restarted = new ArrayList<>();
    for (ServerEntry entry : entries) {
      Server server = servers.get(entry.id());
      if (server == null) {
        servers.put(entry.id(), new Server(entry));
      } else if (server.onListed(entry)) {
        restarted.add(entry.id());
      }
    }
    return restarted;
  }

  void onRemoved(String id, long nowMicros) {
    long effectiveAtMicros = Math.max(nowMicros, removalsEffectiveMicros);
    find(id).ifPresent(server -> server.onRemoved(effectiveAtMicros));
  }

  void onReachable(boolean isNowReachable, long nowMicros) {
    if (isNowReachable != isReachable) {
      isReachable = isNowReachable;
      deferRemovals(isReachable ? nowMicros + REREGISTRATION_MICROS : Long.MAX_VALUE, nowMicros);
    }
  }

  /** Records that the registry was restored; entries missing in the copy are written again soon. */
  void onRestored(long nowMicros) {
    if (isReachable) {
      deferRemovals(nowMicros + REREGISTRATION_MICROS, nowMicros);
    }
  }

  /** Changes when removals take effect, for those that have been read and have not yet as well. */
  private void deferRemovals(long effectiveAtMicros, long nowMicros) {
    removalsEffectiveMicros = effectiveAtMicros;
    servers.values().forEach(server -> server.deferRemoval(effectiveAtMicros, nowMicros));
  }

  /** Applies a status and returns its server, if that was not ready before and is again. */
  Optional<Server> onStatus(SidecarStatus status, long nowMicros) {
    return find(status.upstream()).filter(server -> server.onStatus(status, nowMicros));
  }

  /** Removes the servers that are out of the registry and have no open requests. */
  void removeUnlisted(long nowMicros) {
    servers.values().removeIf(server -> server.isRemovable(nowMicros));
  }
}
