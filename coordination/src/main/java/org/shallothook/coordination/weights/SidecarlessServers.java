package org.shallothook.coordination.weights;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import org.shallothook.coordination.message.PeerMessage.SidecarStatus;
import org.shallothook.coordination.placement.RendezvousHash;
import org.shallothook.coordination.port.Decision;
import org.shallothook.coordination.port.DecisionJournal;
import org.shallothook.state.route.ServerEntry;
import org.shallothook.state.route.WeightVersion;

/**
 * Brings model servers to new weights that have no sidecar beside them.
 *
 * <p>Of the routers that reach each other one keeps each such server, by the same hash everywhere.
 * A router that becomes the keeper waits for longer than turns of holders may follow each other, so
 * that an earlier keeper has noticed by then; fencing numbers reject what it sends late. A server
 * whose sidecar was ever heard of is left to that sidecar.
 *
 * <p>Invariant: a keeper exists only for a server that lacks a wanted version, at the router that
 * is its keeper. Not thread-safe: one decision thread owns it.
 */
public final class SidecarlessServers {
  /** Time after which a host of servers without word of a sidecar counts as without one. */
  private static final long SIDECAR_START_MICROS = 12_000_000;

  /** Turns of holders that a router waits for before it keeps a server. */
  private static final int TURNS_TO_WAIT = 2;

  private final String name;
  private final long ownHash;
  private final long boundMicros;
  private final long turnMicros;
  private final BiConsumer<String, WeightCommand> commands;
  private final DecisionJournal journal;
  private final Map<String, Watched> watched = new HashMap<>();
  private final Map<String, WeightVersion> wanted = new HashMap<>();
  private final Set<String> attendedHosts = new HashSet<>();

  /** Since when a host has had servers; a sidecar belongs to a host and outlives its servers. */
  private final Map<String, Long> firstListedMicros = new HashMap<>();

  private List<Long> routerHashes = List.of();

  /** A listed server, and since when this router is the one to keep it. */
  private static final class Watched {
    private ServerEntry entry;
    private boolean isAttended;
    private Optional<Long> ownSinceMicros = Optional.empty();
    private Optional<WeightUpdater> updater = Optional.empty();

    private Watched(ServerEntry entry) {
      this.entry = entry;
    }
  }

  /**
   * Creates a part that knows no servers.
   *
   * @param name name of this router
   * @param boundMicros time after which no request may begin on older weights, in microseconds
   * @param turnMicros least time between orders of two holders, in microseconds
   * @param commands takes each command, with the address of the server that it concerns
   * @param journal takes a line for each decision
   */
  public SidecarlessServers(
      String name,
      long boundMicros,
      long turnMicros,
      BiConsumer<String, WeightCommand> commands,
      DecisionJournal journal) {
    this.name = Objects.requireNonNull(name, "name");
    this.ownHash = RendezvousHash.hashOf(name);
    this.boundMicros = boundMicros;
    this.turnMicros = turnMicros;
    this.commands = Objects.requireNonNull(commands, "commands");
    this.journal = Objects.requireNonNull(journal, "journal");
  }

  /** Takes in that operators want a version. */
  public void onDesiredVersion(WeightVersion version, long nowMicros) {
    wanted.merge(
        version.model(), version, (one, other) -> one.version() >= other.version() ? one : other);
    keepers()
        .forEach(
            updater -> updater.handle(new WeightEvent.DesiredVersionChanged(version), nowMicros));
  }

  /** Takes in an entry of the registry; servers without weights are nobody's to keep. */
  public void onListed(ServerEntry entry, long nowMicros) {
    if (entry.versions().isEmpty()) {
      return;
    }
    Watched server = watched.computeIfAbsent(entry.id(), id -> new Watched(entry));
    server.entry = entry;
    firstListedMicros.putIfAbsent(hostOf(entry.address()), nowMicros);
    keepers().forEach(updater -> updater.handle(new WeightEvent.ServerListed(entry), nowMicros));
  }

  /** Takes in that an entry of the registry was removed. */
  public void onRemoved(String id, long nowMicros) {
    watched.remove(id);
    keepers().forEach(updater -> updater.handle(new WeightEvent.ServerRemoved(id), nowMicros));
  }

  /** Takes in where a sidecar runs: beside its server, on the same host. */
  public void onSidecar(String address) {
    attendedHosts.add(hostOf(address));
  }

  /**
   * Takes in the state of a server.
   *
   * @param isFromSidecar whether the sidecar beside the server tells it, rather than a router
   */
  public void onStatus(SidecarStatus status, boolean isFromSidecar, long nowMicros) {
    Watched server = watched.get(status.upstream());
    if (server != null) {
      server.isAttended |= isFromSidecar;
    }
    keepers().forEach(updater -> updater.handle(new WeightEvent.StatusReceived(status), nowMicros));
  }

  /** Takes in what has happened at a server that this router keeps. */
  public void handle(String address, WeightEvent event, long nowMicros) {
    for (Watched server : watched.values()) {
      if (server.entry.address().equals(address)) {
        server.updater.ifPresent(updater -> updater.handle(event, nowMicros));
      }
    }
  }

  /**
   * Does what is due.
   *
   * @param reachableRouters names of the other routers that can be reached
   */
  public void onTick(Collection<String> reachableRouters, long nowMicros) {
    routerHashes = reachableRouters.stream().map(RendezvousHash::hashOf).toList();
    for (Watched server : List.copyOf(watched.values())) {
      noteOwner(server, nowMicros);
      boolean isKept = mayKeep(server, nowMicros) && lacksVersion(server.entry);
      if (isKept && server.updater.isEmpty()) {
        keep(server, nowMicros);
      } else if (!isKept && server.updater.isPresent()) {
        server.updater = Optional.empty();
        write(server, "left");
      }
    }
    keepers().forEach(updater -> updater.handle(new WeightEvent.Tick(), nowMicros));
  }

  private void noteOwner(Watched server, long nowMicros) {
    boolean isAttended =
        server.isAttended || attendedHosts.contains(hostOf(server.entry.address()));
    if (isAttended || !isOwn(server.entry)) {
      server.ownSinceMicros = Optional.empty();
    } else if (server.ownSinceMicros.isEmpty()) {
      server.ownSinceMicros = Optional.of(nowMicros);
    }
  }

  private boolean isOwn(ServerEntry entry) {
    long server = RendezvousHash.hashOf(entry.id());
    long own = RendezvousHash.weight(server, ownHash);
    return routerHashes.stream()
        .map(router -> RendezvousHash.weight(server, router))
        .allMatch(other -> Long.compareUnsigned(own, other) >= 0);
  }

  private boolean mayKeep(Watched server, long nowMicros) {
    long hostSince = firstListedMicros.get(hostOf(server.entry.address()));
    return nowMicros - hostSince >= SIDECAR_START_MICROS
        && server
            .ownSinceMicros
            .filter(since -> nowMicros - since >= TURNS_TO_WAIT * turnMicros)
            .isPresent();
  }

  private boolean lacksVersion(ServerEntry entry) {
    return entry.versions().entrySet().stream()
        .anyMatch(
            held -> {
              WeightVersion version = wanted.get(held.getKey());
              return version != null && held.getValue() < version.version();
            });
  }

  private void keep(Watched server, long nowMicros) {
    String address = server.entry.address();
    WeightUpdater updater =
        new WeightUpdater(
            name, address, boundMicros, command -> commands.accept(address, command), journal);
    server.updater = Optional.of(updater);
    write(server, "kept");
    for (Watched other : watched.values()) {
      updater.handle(new WeightEvent.ServerListed(other.entry), nowMicros);
    }
    for (WeightVersion version : wanted.values()) {
      updater.handle(new WeightEvent.DesiredVersionChanged(version), nowMicros);
    }
  }

  private List<WeightUpdater> keepers() {
    List<WeightUpdater> updaters = new ArrayList<>();
    watched.values().forEach(server -> server.updater.ifPresent(updaters::add));
    return updaters;
  }

  private void write(Watched server, String outcome) {
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

  private static String hostOf(String address) {
    return address.substring(0, address.lastIndexOf(':'));
  }
}
