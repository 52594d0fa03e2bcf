package org.shallothook.coordination.weights;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.BiConsumer;
import org.shallothook.coordination.fake.VirtualTime;
import org.shallothook.coordination.message.PeerMessage.SidecarStatus;
import org.shallothook.coordination.port.DecisionJournal;
import org.shallothook.state.log.WrittenTime;
import org.shallothook.state.route.ServerEntry;
import org.shallothook.state.route.WeightVersion;

/**
 * Two routers and the sidecars of model servers on a virtual clock, whose lists of servers and
 * membership records have different ages. A seed decides when each is read. Servers check fencing
 * tokens and record the orders that they receive. Not thread-safe.
 */
final class AddedServerFleet {
  static final String MODEL = "linen";
  static final long SECOND = 1_000_000;
  static final long BOUND = 8 * SECOND;
  static final long HANDOVER = 3 * SECOND;

  private static final int ROUTERS = 2;
  private static final long MEMBERS_INTERVAL = 20 * SECOND;
  private static final long ROUTER_SERVERS_INTERVAL = SECOND / 2;
  private static final long SIDECAR_SERVERS_INTERVAL = 30 * SECOND;
  private static final long DELIVERY = 5_000;
  private static final long LOAD = 700_000;

  /** An order that a server received, whatever it answered. */
  record ReceivedOrder(String server, String holder, long version, long atMicros) {}

  private final VirtualTime time = new VirtualTime(100 * SECOND);
  private final SplittableRandom random;
  private final Map<String, ModelServer> servers = new TreeMap<>();
  private final Map<String, Router> routers = new TreeMap<>();
  private final Map<String, Sidecar> sidecars = new TreeMap<>();
  private final Set<String> memberAddresses = new TreeSet<>();
  private final List<ReceivedOrder> received = new ArrayList<>();
  private Optional<DesiredVersion> desired = Optional.empty();
  private long nextToken = 1;
  private int membersReads;
  private int serversReads;

  private record DesiredVersion(WeightVersion version, long setAtMicros) {}

  AddedServerFleet(long seed) {
    random = new SplittableRandom(seed);
    for (int index = 1; index <= ROUTERS; index++) {
      Router router = new Router("router-" + index);
      routers.put(router.name, router);
      every(ROUTER_SERVERS_INTERVAL, router::readServers);
      every(MEMBERS_INTERVAL, router::readMembers);
      every(WeightUpdater.TICK_INTERVAL_MICROS, router::tick);
    }
  }

  /** Repeats an action from a moment within the first interval on, which the seed decides. */
  private void every(long interval, Runnable action) {
    time.schedule(
        random.nextLong(interval),
        () -> {
          action.run();
          repeat(interval, action);
        });
  }

  private void repeat(long interval, Runnable action) {
    time.schedule(
        interval,
        () -> {
          action.run();
          repeat(interval, action);
        });
  }

  void run(long micros) {
    time.runUntil(time.now() + micros);
  }

  long now() {
    return time.now();
  }

  /** Returns the orders that servers received, in order of time. */
  List<ReceivedOrder> orders() {
    return List.copyOf(received);
  }

  long versionOf(String server) {
    return servers.get(server).version;
  }

  /** Returns how often routers had the membership records read outside the interval. */
  int membersReads() {
    return membersReads;
  }

  /** Returns how often sidecars have had the list of servers read outside the interval. */
  int serversReads() {
    return serversReads;
  }

  /** Adds a server to the list. */
  void addServer(String id) {
    servers.put(id, new ModelServer(id, "10.0.0." + (servers.size() + 1)));
  }

  /** Removes a server from the list; the sidecar on its host ends without a message. */
  void removeServer(String id) {
    ModelServer server = servers.get(id);
    server.isListed = false;
    sidecars.values().stream()
        .filter(sidecar -> sidecar.address.equals(server.address))
        .forEach(sidecar -> sidecar.isRunning = false);
  }

  /**
   * Starts the sidecar of a server that is listed now or later.
   *
   * @param host address of the server's host
   * @param memberDelayMicros time until its membership record is written
   */
  void startSidecar(String host, long memberDelayMicros) {
    Sidecar sidecar = new Sidecar("sidecar-" + host, host);
    sidecars.put(sidecar.name, sidecar);
    time.schedule(memberDelayMicros, () -> memberAddresses.add(host + ":7000"));
    sidecar.readServers();
    every(SIDECAR_SERVERS_INTERVAL, sidecar::readServers);
    every(WeightUpdater.TICK_INTERVAL_MICROS, sidecar::tick);
  }

  static String host(int index) {
    return "10.0.0." + index;
  }

  void setDesiredVersion(long version) {
    desired = Optional.of(new DesiredVersion(new WeightVersion(MODEL, version), time.now()));
    time.schedule(
        DELIVERY,
        () -> {
          routers.values().forEach(Router::readVersion);
          sidecars.values().forEach(Sidecar::readVersion);
        });
  }

  private void announce(SidecarStatus status, String from, boolean includesSidecars) {
    time.schedule(
        DELIVERY,
        () -> {
          routers.values().stream()
              .filter(router -> !router.name.equals(from))
              .forEach(
                  router -> router.core.onStatus(status, sidecars.containsKey(from), time.now()));
          sidecars.values().stream()
              .filter(sidecar -> includesSidecars && !sidecar.name.equals(from))
              .forEach(sidecar -> sidecar.handle(new WeightEvent.StatusReceived(status)));
        });
  }

  /** Carries out a command that concerns the server at an address or the store. */
  private void carryOut(
      String address, WeightCommand command, BiConsumer<String, WeightEvent> events) {
    if (command instanceof WeightCommand.ReadReport) {
      answer(address, new WeightEvent.Reported(report(address)), events);
    } else if (command instanceof WeightCommand.AcquireFencingToken) {
      answer(address, new WeightEvent.FencingTokenAcquired(Optional.of(nextToken++)), events);
    } else if (command instanceof WeightCommand.Order order) {
      time.schedule(
          DELIVERY,
          () ->
              answer(
                  address,
                  new WeightEvent.Ordered(
                      order.order(), servers.get(order.order().server()).onOrder(order.order())),
                  events));
    }
  }

  private void answer(String address, WeightEvent event, BiConsumer<String, WeightEvent> events) {
    time.schedule(DELIVERY, () -> events.accept(address, event));
  }

  private Either<String, EngineReport> report(String address) {
    return servers.values().stream()
        .filter(server -> server.isListed && server.address.equals(address))
        .findFirst()
        .<Either<String, EngineReport>>map(server -> Either.right(server.report()))
        .orElseGet(() -> Either.left("connection refused"));
  }

  /** Reads changed entries and removals, as of the time of the call. */
  private void readServers(Map<String, ServerEntry> known, BiConsumer<String, ServerEntry> change) {
    for (ModelServer server : servers.values()) {
      if (server.isListed && !server.entry().equals(known.get(server.id))) {
        known.put(server.id, server.entry());
        change.accept(server.id, server.entry());
      } else if (!server.isListed && known.remove(server.id) != null) {
        change.accept(server.id, null);
      }
    }
  }

  private final class ModelServer {
    private final String id;
    private final String address;
    private boolean isListed = true;
    private long version = 1;
    private long acceptedOrders;
    private long highestToken;
    private long busyUntilMicros;

    private ModelServer(String id, String host) {
      this.id = id;
      this.address = host + ":80";
    }

    private ServerEntry entry() {
      return new ServerEntry(
          id, "engines", address, "domain", 8, false, Map.of(MODEL, version), 5, Optional.empty());
    }

    private EngineReport report() {
      return new EngineReport(
          Map.of(MODEL, version), time.now() < busyUntilMicros, acceptedOrders, 0, 0, 0, 5);
    }

    private VersionOrderResult onOrder(VersionOrder order) {
      received.add(new ReceivedOrder(id, order.holder(), order.desired().version(), time.now()));
      if (!isListed) {
        return VersionOrderResult.NOT_SENT;
      }
      if (order.fencingToken() < highestToken) {
        return VersionOrderResult.FENCED;
      }
      highestToken = order.fencingToken();
      if (time.now() < busyUntilMicros || order.expectedOrders() != acceptedOrders) {
        return VersionOrderResult.BUSY_OR_CHANGED;
      }
      acceptedOrders++;
      busyUntilMicros = time.now() + LOAD;
      time.schedule(LOAD, () -> version = order.desired().version());
      return VersionOrderResult.ACCEPTED;
    }
  }

  private final class Router {
    private final String name;
    private final SidecarlessServers core;
    private final Map<String, ServerEntry> known = new HashMap<>();

    private Router(String name) {
      this.name = name;
      core = new SidecarlessServers(name, BOUND, HANDOVER, this::carryOutFor, DecisionJournal.NONE);
    }

    private void carryOutFor(String address, WeightCommand command) {
      if (command instanceof WeightCommand.Announce announce) {
        announce(announce.status(), name, false);
      } else if (command instanceof WeightCommand.ReadMembers) {
        membersReads++;
        readMembers();
      } else {
        carryOut(address, command, (to, event) -> core.handle(to, event, time.now()));
      }
    }

    private void tick() {
      List<String> others = routers.keySet().stream().filter(other -> !other.equals(name)).toList();
      core.onTick(others, time.now());
    }

    private void readServers() {
      AddedServerFleet.this.readServers(
          known,
          (id, entry) -> {
            if (entry == null) {
              core.onRemoved(id, time.now());
            } else {
              core.onListed(entry, time.now());
            }
          });
      core.onAllListed(time.now());
    }

    private void readMembers() {
      long issuedMicros = time.now();
      List<String> addresses = List.copyOf(memberAddresses);
      time.schedule(
          DELIVERY,
          () -> {
            addresses.forEach(core::onSidecar);
            core.onMembersComplete(issuedMicros);
          });
    }

    private void readVersion() {
      desired.ifPresent(
          one ->
              core.onDesiredVersion(one.version(), WrittenTime.at(one.setAtMicros()), time.now()));
    }
  }

  private final class Sidecar {
    private final String name;
    private final String address;
    private final WeightUpdater core;
    private final Map<String, ServerEntry> known = new HashMap<>();
    private boolean isRunning = true;

    private Sidecar(String name, String host) {
      this.name = name;
      this.address = host + ":80";
      core = new WeightUpdater(name, address, BOUND, this::carryOutFor, DecisionJournal.NONE);
    }

    private void carryOutFor(WeightCommand command) {
      if (command instanceof WeightCommand.Announce announce) {
        announce(announce.status(), name, announce.includesSidecars());
      } else if (command instanceof WeightCommand.ReadServers) {
        serversReads++;
        time.schedule(DELIVERY, this::readServers);
      } else {
        carryOut(address, command, (to, event) -> handle(event));
      }
    }

    private void handle(WeightEvent event) {
      if (isRunning) {
        core.handle(event, time.now());
      }
    }

    private void tick() {
      handle(new WeightEvent.Tick());
    }

    private void readServers() {
      AddedServerFleet.this.readServers(
          known,
          (id, entry) ->
              handle(
                  entry == null
                      ? new WeightEvent.ServerRemoved(id)
                      : new WeightEvent.ServerListed(entry)));
      handle(new WeightEvent.ServersComplete());
    }

    private void readVersion() {
      desired.ifPresent(
          one ->
              handle(
                  new WeightEvent.DesiredVersionChanged(
                      one.version(), WrittenTime.at(one.setAtMicros()))));
    }
  }
}
