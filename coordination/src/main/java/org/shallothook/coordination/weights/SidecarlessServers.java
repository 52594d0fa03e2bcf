package org.shallothook.coordination.weights;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.BiConsumer;
import org.shallothook.coordination.message.PeerMessage.SidecarStatus;
import org.shallothook.coordination.placement.RendezvousHash;
import org.shallothook.coordination.port.Decision;
import org.shallothook.coordination.port.DecisionJournal;
import org.shallothook.state.log.WrittenTime;
import org.shallothook.state.route.ServerEntry;
import org.shallothook.state.route.WeightVersion;

/**
 * Updates the weights of model servers that have no sidecar on their host.
 *
 * <p>Among the routers that reach each other, rendezvous hashing assigns one owner to each such
 * server. A router that becomes the owner waits for longer than the least time between orders of
 * two owners, so that the previous owner has noticed the change by then; servers reject its late
 * orders by their fencing token. A server is left to its sidecar unless {@link SidecarDiscovery}
 * shows that it has none.
 *
 * <p>Invariant: a {@link WeightUpdater} exists only for a server that lacks a desired version, and
 * only in the router that owns it. Not thread-safe: one decision thread owns it.
 */
public final class SidecarlessServers {
  /** Time between two requests to read the membership records, in microseconds. */
  private static final long MEMBERS_READ_INTERVAL_MICROS = 500_000;

  /** Multiple of the handover time that a new owner waits before it orders loads. */
  private static final int HANDOVER_INTERVALS = 2;

  private final String name;
  private final long ownHash;
  private final long boundMicros;
  private final long handoverMicros;
  private final BiConsumer<String, WeightCommand> commands;
  private final DecisionJournal journal;
  private final Map<String, TrackedServer> tracked = new HashMap<>();
  private final Map<String, WeightEvent.DesiredVersionChanged> desired = new HashMap<>();
  private final SidecarDiscovery sidecars = new SidecarDiscovery();
  private List<Long> routerHashes = List.of();
  private boolean knowsAllServers;
  private long nextMembersReadMicros;

  /** A listed server, and since when this router has owned it. */
  private static final class TrackedServer {
    private ServerEntry entry;
    private Optional<Long> ownerSinceMicros = Optional.empty();
    private Optional<WeightUpdater> updater = Optional.empty();

    private TrackedServer(ServerEntry entry) {
      this.entry = entry;
    }
  }

  /**
   * Creates an instance that knows no servers.
   *
   * @param name name of this router
   * @param boundMicros time after which no request may begin on older weights, in microseconds
   * @param handoverMicros least time between orders of two successive owners of a server, in
   *     microseconds
   * @param commands receives each command with the address of its server
   * @param journal receives a line for each decision
   */
  public SidecarlessServers(
      String name,
      long boundMicros,
      long handoverMicros,
      BiConsumer<String, WeightCommand> commands,
      DecisionJournal journal) {
    this.name = Objects.requireNonNull(name, "name");
    this.ownHash = RendezvousHash.hashOf(name);
    this.boundMicros = boundMicros;
    this.handoverMicros = handoverMicros;
    this.commands = Objects.requireNonNull(commands, "commands");
    this.journal = Objects.requireNonNull(journal, "journal");
  }

  /**
   * Records that operators want a version.
   *
   * @param written what is known of the time at which operators have set it
   */
  public void onDesiredVersion(WeightVersion version, WrittenTime written, long nowMicros) {
    WeightEvent.DesiredVersionChanged changed =
        new WeightEvent.DesiredVersionChanged(version, written);
    desired.merge(
        version.model(),
        changed,
        (one, other) -> one.desired().version() >= other.desired().version() ? one : other);
    updaters().forEach(updater -> updater.handle(changed, nowMicros));
  }

  /** Records an entry of the registry; servers without weights are ignored. */
  public void onListed(ServerEntry entry, long nowMicros) {
    if (entry.versions().isEmpty()) {
      return;
    }
    TrackedServer server = tracked.computeIfAbsent(entry.id(), id -> new TrackedServer(entry));
    server.entry = entry;
    sidecars.onListed(entry, nowMicros);
    updaters().forEach(updater -> updater.handle(new WeightEvent.ServerListed(entry), nowMicros));
  }

  /** Records that all existing entries of the registry are known. */
  public void onAllListed(long nowMicros) {
    knowsAllServers = true;
    updaters().forEach(updater -> updater.handle(new WeightEvent.ServersComplete(), nowMicros));
  }

  /** Records that an entry of the registry was removed. */
  public void onRemoved(String id, long nowMicros) {
    tracked.remove(id);
    updaters().forEach(updater -> updater.handle(new WeightEvent.ServerRemoved(id), nowMicros));
  }

  /** Records the address of a sidecar, which runs on the same host as its server. */
  public void onSidecar(String address) {
    sidecars.onSidecar(address);
  }

  /** Records that all membership records written before a time are known. */
  public void onMembersComplete(long untilMicros) {
    sidecars.onMembersComplete(untilMicros);
  }

  /**
   * Records the announced status of a server.
   *
   * @param isFromSidecar whether the sidecar of the server announced it, rather than a router
   */
  public void onStatus(SidecarStatus status, boolean isFromSidecar, long nowMicros) {
    if (isFromSidecar) {
      sidecars.onStatus(status, nowMicros);
    }
    updaters()
        .forEach(updater -> updater.handle(new WeightEvent.StatusReceived(status), nowMicros));
  }

  /** Handles an event of a server that this router owns. */
  public void handle(String address, WeightEvent event, long nowMicros) {
    for (TrackedServer server : tracked.values()) {
      if (server.entry.address().equals(address)) {
        server.updater.ifPresent(updater -> updater.handle(event, nowMicros));
      }
    }
  }

  /**
   * Updates the ownership of servers and issues the commands that are due.
   *
   * @param reachableRouters names of the other routers that can be reached
   */
  public void onTick(Collection<String> reachableRouters, long nowMicros) {
    routerHashes = reachableRouters.stream().map(RendezvousHash::hashOf).toList();
    for (TrackedServer server : List.copyOf(tracked.values())) {
      updateOwnership(server, nowMicros);
      boolean isWanted = hasOwnedLongEnough(server, nowMicros) && lacksVersion(server.entry);
      if (isWanted) {
        readMembersIfDue(server.entry, nowMicros);
      }
      boolean shouldUpdate = isWanted && sidecars.hasNoSidecar(server.entry);
      if (shouldUpdate && server.updater.isEmpty()) {
        startUpdating(server, nowMicros);
      } else if (!shouldUpdate && server.updater.isPresent()) {
        server.updater = Optional.empty();
        logOwnership(server, "left");
      }
    }
    updaters().forEach(updater -> updater.handle(new WeightEvent.Tick(), nowMicros));
  }

  private void updateOwnership(TrackedServer server, long nowMicros) {
    if (sidecars.hasSidecar(server.entry) || !isOwner(server.entry)) {
      server.ownerSinceMicros = Optional.empty();
    } else if (server.ownerSinceMicros.isEmpty()) {
      server.ownerSinceMicros = Optional.of(nowMicros);
    }
  }

  private boolean isOwner(ServerEntry entry) {
    long server = RendezvousHash.hashOf(entry.id());
    long own = RendezvousHash.weight(server, ownHash);
    return routerHashes.stream()
        .map(router -> RendezvousHash.weight(server, router))
        .allMatch(other -> Long.compareUnsigned(own, other) >= 0);
  }

  private boolean hasOwnedLongEnough(TrackedServer server, long nowMicros) {
    return server
        .ownerSinceMicros
        .filter(since -> nowMicros - since >= HANDOVER_INTERVALS * handoverMicros)
        .isPresent();
  }

  /** Has the membership records read if that may show now whether a server has a sidecar. */
  private void readMembersIfDue(ServerEntry entry, long nowMicros) {
    if (nowMicros >= nextMembersReadMicros && sidecars.isReadDue(entry, nowMicros)) {
      nextMembersReadMicros = nowMicros + MEMBERS_READ_INTERVAL_MICROS;
      commands.accept(entry.address(), new WeightCommand.ReadMembers());
    }
  }

  private boolean lacksVersion(ServerEntry entry) {
    return entry.versions().entrySet().stream()
        .anyMatch(
            held -> {
              WeightEvent.DesiredVersionChanged wanted = desired.get(held.getKey());
              return wanted != null && held.getValue() < wanted.desired().version();
            });
  }

  private void startUpdating(TrackedServer server, long nowMicros) {
    String address = server.entry.address();
    WeightUpdater updater =
        new WeightUpdater(
            name, address, boundMicros, command -> commands.accept(address, command), journal);
    server.updater = Optional.of(updater);
    logOwnership(server, "kept");
    for (TrackedServer other : tracked.values()) {
      updater.handle(new WeightEvent.ServerListed(other.entry), nowMicros);
    }
    if (knowsAllServers) {
      updater.handle(new WeightEvent.ServersComplete(), nowMicros);
    }
    for (WeightEvent.DesiredVersionChanged version : desired.values()) {
      updater.handle(version, nowMicros);
    }
  }

  private List<WeightUpdater> updaters() {
    List<WeightUpdater> updaters = new ArrayList<>();
    tracked.values().forEach(server -> server.updater.ifPresent(updaters::add));
    return updaters;
  }

  private void logOwnership(TrackedServer server, String outcome) {
    journal.write(
        Decision.SERVER,
        server.entry.id(),
        "outcome",
        outcome,
        "versions",
        server.entry.versions(),
        "routers",
        routerHashes.size());
  }
}
