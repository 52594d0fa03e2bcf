package org.shallothook.coordination.forward;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.shallothook.coordination.message.PeerMessage.PacedUpstream;
import org.shallothook.coordination.message.PeerMessage.SidecarStatus;
import org.shallothook.coordination.port.Counters;

/**
 * Starts the windows of servers that have started or recovered, and exchanges what becomes of them
 * with the other routers.
 *
 * <p>A server gets a window after a restart, when its status is ready again, at the end of silence
 * and after several failures in a row. Servers that this router knows from its own start get none,
 * so that a router or a fleet that starts is not held back.
 *
 * <p>Invariant: a window belongs to one incarnation of a server. Not thread-safe.
 */
final class ServerPaces {
  /** Failures in a row after which a server gets a window. */
  private static final int MIN_FAILURES = 3;

  /**
   * Time for which an announcement counts for a start that this router has not noticed yet, in
   * microseconds; routers read the registry at different times.
   */
  private static final long EARLY_ANNOUNCEMENT_VALID_MICROS = 5_000_000;

  private final boolean isEnabled;
  private final ServerDirectory servers;
  private final Consumer<ForwardCommand> commands;
  private final ForwardJournal journal;
  private final Counters counters;

  /** Latest announcement about a start that this router has not noticed yet, by server. */
  private final Map<String, EarlyAnnouncement> earlyAnnouncements = new HashMap<>();

  /** Names of the servers that were silent at the latest tick. */
  private final Set<String> silent = new HashSet<>();

  private Optional<RouterFleet> fleet = Optional.empty();
  private long announcesAtMicros = Long.MIN_VALUE;
  private boolean hasNewRoom;

  private record EarlyAnnouncement(PacedUpstream announced, long atMicros) {}

  ServerPaces(
      ForwardOptions options,
      ServerDirectory servers,
      Consumer<ForwardCommand> commands,
      ForwardJournal journal) {
    this.isEnabled = options.isPaced();
    this.servers = servers;
    this.commands = commands;
    this.journal = journal;
    this.counters = options.counters();
  }

  /** Returns whether a server may have room since the last call, because of its window. */
  boolean takeNewRoom() {
    boolean taken = hasNewRoom;
    hasNewRoom = false;
    return taken;
  }

  /**
   * Returns whether one of some servers has no room at present because of a window that may soon
   * grow, so that a request had better wait than be refused for the queues of the others.
   */
  boolean mayTakeSoon(List<Server> candidates, long nowMicros) {
    return candidates.stream()
        .filter(Server::isPaced)
        .filter(server -> !server.hasFreeSlot(nowMicros))
        .anyMatch(server -> server.pace().orElseThrow().isSound(nowMicros));
  }

  void onFleet(RouterFleet newFleet) {
    fleet = Optional.of(newFleet);
    servers.all().forEach(server -> server.pace().ifPresent(pace -> pace.divide(fleet)));
    hasNewRoom = servers.all().stream().anyMatch(Server::isPaced);
  }

  void onRestarted(Server server, long nowMicros) {
    start(server, server.incarnation(), PaceCause.RESTARTED, nowMicros);
  }

  /** Starts the window of a server whose status is ready again. */
  void onReady(Server server, SidecarStatus status, long nowMicros) {
    // The registry lists a new incarnation later than its sidecar announces it.
    String incarnation =
        status.engineIncarnation().isEmpty() ? server.incarnation() : status.engineIncarnation();
    start(server, incarnation, PaceCause.READY, nowMicros);
  }

  /** Applies a response to a request, by the time that it has taken while this process ran. */
  void onResponse(
      Server server,
      PendingRequest request,
      ResponseHead response,
      long runningMicros,
      long nowMicros) {
    if (!server.isPaced()) {
      return;
    }
    ServerPace pace = server.pace().orElseThrow();
    if (response.isServerError() || isForRoom(response)) {
      fail(pace, request, nowMicros);
    } else if (!response.isNotRun()) {
      long durationMicros = runningMicros - request.sentRunningMicros();
      long targetMicros = request.route().targetMicros();
      countHalved(pace.onResponse(request.sentMicros(), durationMicros, targetMicros, nowMicros));
    }
    onChanged(server, pace, server.incarnation(), nowMicros);
    announce(runningMicros, nowMicros);
  }

  /** Records that a server has failed a request. */
  void onFailure(Server server, PendingRequest request, long nowMicros) {
    server.onFailure(nowMicros);
    if (server.isPaced()) {
      fail(server.pace().orElseThrow(), request, nowMicros);
    } else if (server.failuresInRow() >= MIN_FAILURES) {
      start(server, server.incarnation(), PaceCause.FAILED, nowMicros);
    }
  }

  /** Records that a request is withdrawn; it counts as late if its target has passed. */
  void onDropped(PendingRequest request, long runningMicros, long nowMicros) {
    boolean isLate =
        request.isUnanswered()
            && runningMicros - request.sentRunningMicros() > request.route().targetMicros();
    if (isLate) {
      request
          .server()
          .filter(Server::isPaced)
          .flatMap(Server::pace)
          .ifPresent(pace -> fail(pace, request, nowMicros));
    }
  }

  /** Applies what another router has learned about windows. */
  void onAnnounced(ForwardEvent.PacesAnnounced announced, long nowMicros) {
    if (isEnabled) {
      for (PacedUpstream one : announced.paces()) {
        servers
            .find(one.upstream())
            .ifPresent(server -> onAnnounced(server, one, announced.source(), nowMicros));
      }
    }
  }

  /** Ends silence, lets windows grow that no request tests, and announces what is due. */
  void onTick(long runningMicros, long nowMicros) {
    if (!isEnabled) {
      return;
    }
    for (Server server : servers.all()) {
      if (server.isSilent(ForwardCore.MAX_SILENCE_MICROS, runningMicros)) {
        silent.add(server.name());
      } else if (silent.remove(server.name()) && !server.isPaced()) {
        start(server, server.incarnation(), PaceCause.SILENT, nowMicros);
      }
      if (server.isPaced()) {
        ServerPace pace = server.pace().orElseThrow();
        pace.onTick(isWaiting(server, pace, runningMicros), nowMicros);
        onChanged(server, pace, server.incarnation(), nowMicros);
      }
    }
    silent.removeIf(name -> servers.find(name).isEmpty());
    earlyAnnouncements
        .values()
        .removeIf(one -> nowMicros - one.atMicros() > EARLY_ANNOUNCEMENT_VALID_MICROS);
    announce(runningMicros, nowMicros);
  }

  private void onAnnounced(Server server, PacedUpstream announced, String source, long nowMicros) {
    Optional<ServerPace> known =
        server.pace().filter(pace -> pace.incarnation().equals(announced.incarnation()));
    if (known.filter(pace -> !pace.hasEnded()).isPresent()) {
      countHalved(known.get().onAnnounced(announced, nowMicros));
      onChanged(server, known.get(), source, nowMicros);
    } else if (isUnnoticed(server, known, announced, nowMicros)) {
      earlyAnnouncements.put(server.name(), new EarlyAnnouncement(announced, nowMicros));
    } else if (announced.late() > 0
        || known.filter(pace -> pace.hasEndedRecently(nowMicros)).isEmpty()) {
      adopt(server, announced, source, nowMicros);
    }
  }

  /** Returns whether an announcement is about a start that this router has yet to notice. */
  private static boolean isUnnoticed(
      Server server, Optional<ServerPace> known, PacedUpstream announced, long nowMicros) {
    boolean isOtherIncarnation =
        known.isEmpty() && !announced.incarnation().equals(server.incarnation());
    return isOtherIncarnation || server.isKnownNotReady(nowMicros);
  }

  private void adopt(Server server, PacedUpstream announced, String source, long nowMicros) {
    if (announced.window() < server.entry().slots()) {
      ServerPace pace =
          new ServerPace(
              server.name(),
              announced.incarnation(),
              server.entry().slots(),
              announced.window(),
              PaceCause.ANNOUNCED,
              nowMicros);
      set(server, pace, source, nowMicros);
    }
  }

  private void start(Server server, String incarnation, PaceCause cause, long nowMicros) {
    if (!isEnabled) {
      return;
    }
    int slots = server.entry().slots();
    Optional<PacedUpstream> told =
        Optional.ofNullable(earlyAnnouncements.remove(server.name()))
            .map(EarlyAnnouncement::announced)
            .filter(one -> one.incarnation().equals(incarnation));
    boolean hasWindow =
        cause == PaceCause.RESTARTED
            && server.pace().filter(pace -> pace.incarnation().equals(incarnation)).isPresent();
    boolean hasMajority = hasMajority(server, nowMicros);
    int window =
        Math.max(
            ServerPace.initialWindow(slots, hasMajority),
            told.map(PacedUpstream::window).orElse(0));
    if (hasWindow || window >= slots) {
      return;
    }
    set(
        server,
        new ServerPace(server.name(), incarnation, slots, window, cause, nowMicros),
        incarnation,
        nowMicros);
    if (hasMajority) {
      raiseAll(server.entry().service(), nowMicros);
    }
  }

  /** Returns whether most usable servers of a service have a window, once one more gets it. */
  private boolean hasMajority(Server starting, long nowMicros) {
    List<Server> others =
        servers.usable(starting.entry().service(), nowMicros).stream()
            .filter(server -> server != starting)
            .toList();
    long paced = others.stream().filter(Server::isPaced).count();
    return 2 * (paced + 1) > others.size() + 1;
  }

  /** Raises the windows that started before it was known that most servers get one. */
  private void raiseAll(String service, long nowMicros) {
    for (Server server : servers.usable(service, nowMicros)) {
      if (server.isPaced()) {
        ServerPace pace = server.pace().orElseThrow();
        pace.raise(ServerPace.initialWindow(server.entry().slots(), true), nowMicros);
        onChanged(server, pace, server.incarnation(), nowMicros);
      }
    }
  }

  private void set(Server server, ServerPace pace, String source, long nowMicros) {
    pace.divide(fleet);
    server.setPace(pace);
    counters.increment("pace.started");
    journal.pace(server, pace, source, nowMicros);
    hasNewRoom = true;
  }

  /** Returns whether a server rejects a request, but not for the sake of its identity or end. */
  private static boolean isForRoom(ResponseHead response) {
    return response.isNotRun()
        && !response.isMisdirected()
        && response.instance().isEmpty()
        && !response.isLeaving();
  }

  private void fail(ServerPace pace, PendingRequest request, long nowMicros) {
    countHalved(pace.onFailure(request.sentMicros(), nowMicros));
  }

  private void countHalved(boolean isHalved) {
    if (isHalved) {
      counters.increment("pace.halved");
    }
  }

  private void onChanged(Server server, ServerPace pace, String source, long nowMicros) {
    hasNewRoom |= pace.hasRoom(server.unanswered());
    if (pace.hasEnded()) {
      counters.increment("pace.ended");
      journal.pace(server, pace, source, nowMicros);
    }
  }

  private static boolean isWaiting(Server server, ServerPace pace, long runningMicros) {
    return server.isSilent(pace.waitMicros(), runningMicros);
  }

  private void announce(long runningMicros, long nowMicros) {
    if (nowMicros < announcesAtMicros) {
      return;
    }
    List<PacedUpstream> due = new ArrayList<>();
    for (Server server : servers.all()) {
      server
          .pace()
          .flatMap(pace -> pace.announce(isWaiting(server, pace, runningMicros), nowMicros))
          .ifPresent(due::add);
    }
    if (!due.isEmpty()) {
      int routers = fleet.map(RouterFleet::size).orElse(1);
      announcesAtMicros = nowMicros + ServerPace.announcementIntervalMicros(routers);
      commands.accept(new ForwardCommand.AnnouncePaces(due));
    }
  }
}
