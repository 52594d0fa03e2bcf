package org.shallothook.coordination.weights;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.shallothook.coordination.message.PeerMessage.SidecarStatus;
import org.shallothook.state.collection.BoundedMaps;
import org.shallothook.state.route.ServerEntry;

/**
 * Finds out which servers have a sidecar.
 *
 * <p>A status, a membership record and the list of servers reach a process in any order. A server
 * has a sidecar if its sidecar has announced a status of it, even before the server was listed, or
 * if a sidecar's membership record names its host. It has none only if the membership records are
 * known up to a time by which its sidecar would have written one. No interval between reads is part
 * of that: whoever depends on the answer has the records read when it matters.
 *
 * <p>Invariant: no server counts as one without a sidecar on the strength of records that were read
 * before its sidecar could have started. Not thread-safe: one decision thread owns it.
 */
final class SidecarDiscovery {
  /**
   * Time after the first listing of a host by which its sidecar has written its membership record
   * if it has one, in microseconds.
   */
  static final long SIDECAR_START_MICROS = 12_000_000;

  /** Number of servers whose sidecar is remembered by its statuses; the eldest go first. */
  static final int MAXIMUM_ANNOUNCED_SERVERS = 4_096;

  /** When the sidecar of each server last announced a status; the eldest come first. */
  private final Map<String, Long> announcedMicros = new LinkedHashMap<>();

  private final Set<String> sidecarHosts = new HashSet<>();

  /**
   * When a server of each host was first listed; a sidecar belongs to a host and outlives its
   * servers.
   */
  private final Map<String, Long> hostFirstListedMicros = new HashMap<>();

  private long membersCompleteUntilMicros = Long.MIN_VALUE;

  void onListed(ServerEntry entry, long nowMicros) {
    hostFirstListedMicros.putIfAbsent(hostOf(entry.address()), nowMicros);
  }

  /** Records the address of a sidecar, which runs on the same host as its server. */
  void onSidecar(String address) {
    sidecarHosts.add(hostOf(address));
  }

  /** Records a status that a sidecar announced of its server, whether that is listed or not. */
  void onStatus(SidecarStatus status, long nowMicros) {
    BoundedMaps.putNewest(announcedMicros, status.upstream(), nowMicros, MAXIMUM_ANNOUNCED_SERVERS);
  }

  /** Records that all membership records written before a time are known. */
  void onMembersComplete(long untilMicros) {
    membersCompleteUntilMicros = Math.max(membersCompleteUntilMicros, untilMicros);
  }

  /** Returns whether a server is known to have a sidecar. */
  boolean hasSidecar(ServerEntry entry) {
    return announcedMicros.containsKey(entry.id())
        || sidecarHosts.contains(hostOf(entry.address()));
  }

  /** Returns whether a server is known to have no sidecar. */
  boolean hasNoSidecar(ServerEntry entry) {
    return !hasSidecar(entry)
        && sidecarStartedBy(entry).filter(by -> membersCompleteUntilMicros >= by).isPresent();
  }

  /** Returns whether a read of the membership records would show now if a server has none. */
  boolean isReadDue(ServerEntry entry, long nowMicros) {
    return !hasSidecar(entry)
        && sidecarStartedBy(entry)
            .filter(by -> nowMicros >= by && membersCompleteUntilMicros < by)
            .isPresent();
  }

  private Optional<Long> sidecarStartedBy(ServerEntry entry) {
    return Optional.ofNullable(hostFirstListedMicros.get(hostOf(entry.address())))
        .map(listed -> listed + SIDECAR_START_MICROS);
  }

  private static String hostOf(String address) {
    int colon = address.lastIndexOf(':');
    return colon < 0 ? address : address.substring(0, colon);
  }
}
