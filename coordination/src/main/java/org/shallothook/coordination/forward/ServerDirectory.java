package org.shallothook.coordination.forward;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.shallothook.coordination.message.PeerMessage.SidecarStatus;
import org.shallothook.state.route.ServerEntry;

/**
 * All servers that a forwarding router knows.
 *
 * <p>Pattern answered: entries lapse while the registry is away and come back soon after it. A
 * removal that is read shortly after an outage therefore takes effect after a grace period only.
 *
 * <p>Invariant: a server that is leaving or removed is never usable again in the same life, but for
 * an entry that comes back. Not thread-safe.
 */
final class ServerDirectory {
  /** Time in which entries that lapsed during an outage come back, as the registry promises. */
  private static final long COME_BACK_MICROS = 2_000_000;

  /** Time after an outage during which removals may stem from it, in microseconds. */
  private static final long AFTER_OUTAGE_MICROS = 3_000_000;

  private final Map<String, Server> servers = new LinkedHashMap<>();
  private boolean isReachable = true;
  private long outageEndedMicros = Long.MIN_VALUE / 2;

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

  /** Returns when the first closed server of a service reopens, where all that are listed are. */
  Optional<Long> reopensAtMicros(String service, long nowMicros) {
    List<Optional<Long>> listed =
        servers.values().stream()
            .filter(server -> server.entry().service().equals(service))
            .filter(server -> !server.entry().isLeaving())
            .map(server -> server.reopensAtMicros(nowMicros))
            .toList();
    return listed.stream().allMatch(Optional::isPresent)
        ? listed.stream().flatMap(Optional::stream).min(Long::compare)
        : Optional.empty();
  }

  /** Takes in entries and returns the identities of servers that have started anew. */
  List<String> onRead(List<ServerEntry> entries, boolean isWhole, long nowMicros) {
    List<String> restarted = new ArrayList<>();
    for (ServerEntry entry : entries) {
      Server known = servers.get(entry.id());
      if (known == null) {
        servers.put(entry.id(), new Server(entry));
      } else if (known.onListed(entry)) {
        restarted.add(entry.id());
      }
    }
    if (isWhole) {
      Set<String> present = new HashSet<>();
      entries.forEach(entry -> present.add(entry.id()));
      servers.values().stream()
          .filter(server -> !present.contains(server.name()))
          .forEach(server -> onRemoved(server.name(), nowMicros));
    }
    return restarted;
  }

  void onRemoved(String id, long nowMicros) {
    boolean isFromOutage = !isReachable || nowMicros - outageEndedMicros < AFTER_OUTAGE_MICROS;
    long effective = isFromOutage ? nowMicros + COME_BACK_MICROS : nowMicros;
    find(id).ifPresent(server -> server.onRemoved(effective));
  }

  void onReachable(boolean isNowReachable, long nowMicros) {
    if (isNowReachable && !isReachable) {
      outageEndedMicros = nowMicros;
    }
    isReachable = isNowReachable;
  }

  void onStatus(SidecarStatus status, long nowMicros) {
    find(status.upstream()).ifPresent(server -> server.onStatus(status, nowMicros));
  }

  void forget(long nowMicros) {
    servers.values().removeIf(server -> server.isForgettable(nowMicros));
  }
}
