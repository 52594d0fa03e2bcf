package org.shallothook.transport.forward;

import io.netty.channel.ChannelFuture;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpResponse;
import java.net.ConnectException;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.shallothook.coordination.port.Counters;
import org.shallothook.coordination.port.Decision;
import org.shallothook.coordination.port.DecisionJournal;
import org.shallothook.coordination.port.LatencyStep;
import org.shallothook.transport.Addresses;
import org.shallothook.transport.Channels;
import org.shallothook.transport.ConnectionKind;
import org.shallothook.transport.logging.LogComponent;

/**
 * Pool of connections to servers. A connection is reused only while its server has certainly not
 * closed it as idle.
 *
 * <p>Invariant: there are at most {@link ForwardSettings#maximumIdleConnections} idle connections
 * for each address, and each is closed before its server's keep-alive timeout. Confined to the
 * event loop.
 */
final class ServerConnectionPool implements ServerConnection.Pool {
  /** Time before a server's keep-alive timeout from which a connection is not reused. */
  private static final long KEEP_ALIVE_MARGIN_MILLIS = 400;

  private static final Duration EXPIRY_CHECK_INTERVAL = Duration.ofSeconds(1);

  private final EventLoop loop;
  private final HeaderTranslation form;
  private final ForwardSettings settings;
  private final LongSupplier clockMicros;
  private final Counters counters;
  private final DecisionJournal journal;
  private final MemoryBudget budget;
  private final Map<String, Deque<ServerConnection>> idle = new HashMap<>();

  ServerConnectionPool(
      EventLoop loop,
      HeaderTranslation form,
      ForwardSettings settings,
      LongSupplier clockMicros,
      Counters counters,
      DecisionJournal journal,
      MemoryBudget budget) {
    this.loop = loop;
    this.form = form;
    this.settings = settings;
    this.clockMicros = clockMicros;
    this.counters = counters;
    this.journal = journal;
    this.budget = budget;
  }

  /** Starts to close connections that have been idle for too long. */
  void start() {
    Channels.after(loop, EXPIRY_CHECK_INTERVAL, this::closeExpired);
  }

  /**
   * Sends an attempt over an idle connection or a new one. Checks that the attempt is still needed
   * just before anything is written, because the caller may have disconnected while the command was
   * queued or the connection was established.
   */
  void send(ServerAttempt attempt) {
    if (!isStillNeeded(attempt)) {
      return;
    }
    String address = attempt.dispatch().address();
    Optional<ServerConnection> reusable = takeIdle(address, attempt.request());
    if (reusable.isPresent()) {
      counters.recordLatency(LatencyStep.SERVER_CONNECTION, 0);
      reusable.get().send(attempt, clockMicros.getAsLong());
    } else {
      connect(attempt, address);
    }
  }

  /**
   * Checks whether a server still accepts connections. Only a refused connection shows that it is
   * down; after a timeout it may as well be cut off.
   *
   * @param onResult receives whether the server has refused the connection
   */
  void check(String address, Consumer<Boolean> onResult) {
    counters.increment("servers.checks");
    ServerConnection connection = new ServerConnection(this, form, address);
    connect(connection)
        .addListener(
            done -> {
              if (done.isSuccess()) {
                release(connection);
              }
              onResult.accept(isRefusal(done.cause()));
            });
  }

  private static boolean isRefusal(Throwable cause) {
    return cause instanceof ConnectException && !(cause instanceof ConnectTimeoutException);
  }

  @Override
  public void release(ServerConnection connection) {
    Deque<ServerConnection> connections =
        idle.computeIfAbsent(connection.address(), key -> new ArrayDeque<>());
    if (connections.size() >= settings.maximumIdleConnections()) {
      connection.close();
    } else {
      connections.addLast(connection);
    }
  }

  @Override
  public void onClosed(ServerConnection connection) {
    Deque<ServerConnection> connections = idle.get(connection.address());
    if (connections != null && connections.remove(connection) && connections.isEmpty()) {
      idle.remove(connection.address());
    }
  }

  @Override
  public void onUnexpected(
      ServerConnection connection, UnexpectedResponse unexpected, HttpResponse head) {
    counters.increment("servers.responses-" + unexpected.code());
    journal.write(
        Decision.UNEXPECTED_RESPONSE,
        connection.waitingRequest().orElse(connection.address()),
        "address",
        connection.address(),
        "outcome",
        unexpected.code(),
        "status",
        head.status().code(),
        "names",
        form.requestIdOf(head).orElse(""),
        "carried",
        connection.sentRequests(),
        "sent_ms",
        TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - connection.lastSentNanos()));
  }

  @Override
  public void onSurplusBytes(ServerConnection connection) {
    counters.increment("servers.connections-surplus-data");
    LogComponent.UPSTREAM.warn(
        "Closed the connection to {}: data arrived after a response.", connection.address());
  }

  /** Returns the most recently used connection, as its server is least likely to close it. */
  private Optional<ServerConnection> takeIdle(String address, OutboundRequest request) {
    Deque<ServerConnection> connections = idle.getOrDefault(address, new ArrayDeque<>());
    Iterator<ServerConnection> newestFirst = connections.descendingIterator();
    while (newestFirst.hasNext()) {
      ServerConnection connection = newestFirst.next();
      boolean isUsable = connection.isActive() && isUsable(connection, request.hasSafeMethod());
      if (isUsable && !connection.mayCarry(request)) {
        continue;
      }
      newestFirst.remove();
      if (isUsable && connection.isOpenAfterReading()) {
        return Optional.of(connection);
      }
      connection.close();
    }
    return Optional.empty();
  }

  private boolean isUsable(ServerConnection connection, boolean hasSafeMethod) {
    long idleMillis =
        TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - connection.idleSinceNanos());
    long maximumMillis = maximumIdleMillis(connection);
    long nonRepeatableMillis = settings.nonRepeatableIdleTime().toMillis();
    return idleMillis
        < (hasSafeMethod ? maximumMillis : Math.min(maximumMillis, nonRepeatableMillis));
  }

  private long maximumIdleMillis(ServerConnection connection) {
    long announcedMillis =
        connection
            .keepAliveMillis()
            .map(timeout -> timeout - KEEP_ALIVE_MARGIN_MILLIS)
            .orElse(settings.idleTimeout().toMillis());
    return Math.min(announcedMillis, settings.maximumIdleTime().toMillis());
  }

  private void connect(ServerAttempt attempt, String address) {
    long startedMicros = clockMicros.getAsLong();
    counters.increment("servers.connections");
    ServerConnection connection = new ServerConnection(this, form, address);
    ChannelFuture connecting;
    try {
      connecting = connect(connection);
    } catch (IllegalArgumentException e) {
      attempt.onUnsent(String.valueOf(e.getMessage()));
      return;
    }
    connecting.addListener(
        done -> {
          if (!done.isSuccess()) {
            attempt.onUnsent(String.valueOf(done.cause().getMessage()));
          } else if (!isStillNeeded(attempt)) {
            release(connection);
          } else {
            long nowMicros = clockMicros.getAsLong();
            counters.recordLatency(LatencyStep.SERVER_CONNECTION, nowMicros - startedMicros);
            connection.send(attempt, nowMicros);
          }
        });
  }

  private ChannelFuture connect(ServerConnection connection) {
    return Channels.client(
            loop,
            ConnectionKind.SERVER,
            settings.connectTimeout(),
            channel -> connection.addTo(channel.pipeline().addLast(budget)))
        .connect(Addresses.parse(connection.address()));
  }

  private boolean isStillNeeded(ServerAttempt attempt) {
    boolean isNeeded = attempt.isStillNeeded();
    if (!isNeeded) {
      counters.increment("servers.sends-unwanted");
    }
    return isNeeded;
  }

  private void closeExpired() {
    for (Deque<ServerConnection> connections : List.copyOf(idle.values())) {
      for (Iterator<ServerConnection> each = connections.iterator(); each.hasNext(); ) {
        ServerConnection connection = each.next();
        if (!isUsable(connection, true)) {
          each.remove();
          connection.close();
        }
      }
    }
    Channels.after(loop, EXPIRY_CHECK_INTERVAL, this::closeExpired);
  }
}
