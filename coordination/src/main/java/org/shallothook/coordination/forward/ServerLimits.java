package org.shallothook.coordination.forward;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.function.Consumer;
import org.shallothook.coordination.port.Counters;

/**
 * Keeps this router's shares of the limits that servers state, and tells the other routers of each
 * change.
 *
 * <p>Each router sees only the responses that it carried. A change is therefore announced, and so
 * is from time to time a limit that lasts, so that routers which send nothing to the server know
 * that it still holds.
 *
 * <p>Invariant: a limit belongs to one incarnation of a server, and ends with it. Not thread-safe.
 */
final class ServerLimits {
  /** Shortest time between two announcements about a server, in microseconds. */
  private static final long MIN_ANNOUNCE_INTERVAL_MICROS = 100_000;

  /** Time after which a limit that has not changed is announced again, in microseconds. */
  private static final long REPEAT_MICROS = 1_000_000;

  /** Stands for the limit of a server that states none, in requests per second. */
  static final double NO_LIMIT = -1;

  private final Consumer<ForwardCommand> commands;
  private final ForwardJournal journal;
  private final Counters counters;
  private Optional<RouterFleet> fleet = Optional.empty();

  /** Next time at which a server takes a request, and the time from each one to the next. */
  private record Turn(long atMicros, long intervalMicros) {}

  ServerLimits(Consumer<ForwardCommand> commands, ForwardJournal journal, Counters counters) {
    this.commands = commands;
    this.journal = journal;
    this.counters = counters;
  }

  /** Applies what a response states; a response of another server states nothing. */
  void onResponse(Server server, PendingRequest request, ResponseHead response, long nowMicros) {
    if (response.instance().filter(id -> !id.equals(server.name())).isPresent()) {
      return;
    }
    String source = request.head().id();
    LimitStatement statement = response.limit();
    switch (statement.kind()) {
      case STATED -> {
        set(server, statement.requestsPerSecond(), source, nowMicros);
        announce(server, nowMicros);
      }
      case NONE -> {
        // Responses can overtake each other: only one to a later request ends the limit.
        boolean hasEnded =
            server.limit().filter(share -> request.sentMicros() > share.statedMicros()).isPresent();
        if (hasEnded) {
          end(server, "ended", source);
        }
        if (server.limit().isEmpty() && server.announcedLimit() != NO_LIMIT) {
          announce(server, nowMicros);
        }
      }
      case UNREADABLE -> {
        counters.increment("limits.unreadable");
        journal.limit(server, "unreadable", limitOf(server), source);
      }
    }
  }

  /** Applies what another router has learned of the present incarnation of a server. */
  void onAnnounced(Server server, ForwardEvent.LimitAnnounced announced, long nowMicros) {
    if (!announced.incarnation().equals(server.incarnation())) {
      counters.increment("limits.other-incarnation");
      return;
    }
    if (announced.requestsPerSecond().isPresent()) {
      LimitStatement statement = LimitStatement.of(announced.requestsPerSecond().get());
      set(server, statement.requestsPerSecond(), announced.source(), nowMicros);
    } else if (server.limit().isPresent()) {
      end(server, "ended", announced.source());
    }
    server.onLimitAnnounced(limitOf(server), nowMicros);
  }

  void onRestarted(Server server, long nowMicros) {
    if (server.limit().isPresent()) {
      end(server, "restarted", server.incarnation());
      server.onLimitAnnounced(NO_LIMIT, nowMicros);
    }
  }

  /** Divides all limits anew. */
  void onFleet(RouterFleet newFleet, Collection<Server> servers, long nowMicros) {
    fleet = Optional.of(newFleet);
    for (Server server : servers) {
      server
          .limit()
          .ifPresent(
              share -> {
                share.divide(server.name(), fleet, nowMicros);
                journal.limit(
                    server, "divided", share.limitPerSecond(), newFleet.size() + " routers");
              });
    }
  }

  /** Returns whether the limits of all of some servers keep this router from sending to them. */
  static boolean areExhausted(List<Server> servers, long nowMicros) {
    return !servers.isEmpty()
        && servers.stream()
            .allMatch(
                server ->
                    server.limit().filter(share -> !share.isAvailable(nowMicros)).isPresent());
  }

  /**
   * Returns when one of some servers, whose limits are exhausted, will take a request.
   *
   * @param servers at least one server with a limit
   * @param preceding requests that are sent before it
   */
  static long availableMicros(List<Server> servers, int preceding, long nowMicros) {
    PriorityQueue<Turn> turns = new PriorityQueue<>(Comparator.comparingLong(Turn::atMicros));
    for (Server server : servers) {
      LimitShare share = server.limit().orElseThrow();
      turns.add(new Turn(share.availableMicros(nowMicros), share.intervalMicros()));
    }
    for (int sent = 0; sent < preceding; sent++) {
      Turn turn = turns.remove();
      turns.add(new Turn(turn.atMicros() + turn.intervalMicros(), turn.intervalMicros()));
    }
    return turns.element().atMicros();
  }

  private void set(Server server, double requestsPerSecond, String source, long nowMicros) {
    double previous = limitOf(server);
    LimitShare share = server.limit().orElseGet(() -> new LimitShare(nowMicros));
    share.onStated(requestsPerSecond, nowMicros);
    if (previous != requestsPerSecond) {
      share.divide(server.name(), fleet, nowMicros);
      server.setLimit(Optional.of(share));
      counters.increment("limits.changed");
      journal.limit(server, "stated", previous, source);
    }
  }

  private void end(Server server, String outcome, String source) {
    double previous = limitOf(server);
    server.setLimit(Optional.empty());
    counters.increment("limits.changed");
    journal.limit(server, outcome, previous, source);
  }

  /** Announces the present limit of a server unless the other routers have just heard of it. */
  private void announce(Server server, long nowMicros) {
    double limit = limitOf(server);
    boolean isChanged = limit != server.announcedLimit();
    long interval = isChanged ? MIN_ANNOUNCE_INTERVAL_MICROS : REPEAT_MICROS;
    if (nowMicros - server.limitAnnouncedMicros() >= interval) {
      server.onLimitAnnounced(limit, nowMicros);
      commands.accept(
          new ForwardCommand.AnnounceLimit(
              server.name(), server.incarnation(), server.limit().map(LimitShare::limitPerSecond)));
    }
  }

  private static double limitOf(Server server) {
    return server.limit().map(LimitShare::limitPerSecond).orElse(NO_LIMIT);
  }
}
