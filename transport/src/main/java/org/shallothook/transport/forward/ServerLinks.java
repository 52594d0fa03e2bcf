package org.shallothook.transport.forward;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpClientCodec;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.shallothook.coordination.port.Counters;
import org.shallothook.coordination.port.LatencyStep;
import org.shallothook.transport.Addresses;
import org.shallothook.transport.Channels;

/**
 * Connections to servers, kept for the next request while their server surely keeps them.
 *
 * <p>Invariant: at most a fixed number of unused connections for each address, each closed before
 * its server's idle timeout. Used on the loop alone.
 */
final class ServerLinks implements ServerLink.Pool {
  /** Time before a server's idle timeout at which a connection is used no more, in milliseconds. */
  private static final long KEPT_MARGIN_MILLIS = 400;

  private static final Duration SWEEP_INTERVAL = Duration.ofSeconds(1);

  private final EventLoop loop;
  private final RequestForm form;
  private final ForwardSettings settings;
  private final LongSupplier clockMicros;
  private final Counters counters;
  private final Map<String, Deque<ServerLink>> free = new HashMap<>();

  ServerLinks(
      EventLoop loop,
      RequestForm form,
      ForwardSettings settings,
      LongSupplier clockMicros,
      Counters counters) {
    this.loop = loop;
    this.form = form;
    this.settings = settings;
    this.clockMicros = clockMicros;
    this.counters = counters;
  }

  /** Starts to close connections that are unused for too long. */
  void start() {
    Channels.after(loop, SWEEP_INTERVAL, this::sweep);
  }

  /**
   * Sends an attempt over a kept connection or a new one. Just before anything is written it asks
   * whether the attempt is wanted: a decision may be old by then, after a backlog or a connect.
   */
  void send(ServerAttempt attempt) {
    if (!isWanted(attempt)) {
      return;
    }
    String address = attempt.dispatch().address();
    Optional<ServerLink> kept = take(address, attempt.request().isRead());
    if (kept.isPresent()) {
      counters.took(LatencyStep.SERVER_CONNECTION, 0);
      kept.get().send(attempt, clockMicros.getAsLong());
    } else {
      connect(attempt, address);
    }
  }

  @Override
  public void free(ServerLink link) {
    Deque<ServerLink> links = free.computeIfAbsent(link.address(), key -> new ArrayDeque<>());
    if (links.size() >= settings.maximumIdle()) {
      link.close();
    } else {
      links.addLast(link);
    }
  }

  @Override
  public void closed(ServerLink link) {
    Deque<ServerLink> links = free.get(link.address());
    if (links != null && links.remove(link) && links.isEmpty()) {
      free.remove(link.address());
    }
  }

  /** Returns the connection that was used last, which its server is least likely to close. */
  private Optional<ServerLink> take(String address, boolean isRead) {
    Deque<ServerLink> links = free.get(address);
    ServerLink link = links == null ? null : links.pollLast();
    while (link != null) {
      if (link.isActive() && isUsable(link, isRead)) {
        return Optional.of(link);
      }
      link.close();
      link = links.pollLast();
    }
    return Optional.empty();
  }

  private boolean isUsable(ServerLink link, boolean isRead) {
    long unusedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - link.freeSinceNanos());
    long longest = longestMillis(link);
    long fresh = settings.freshIdle().toMillis();
    return unusedMillis < (isRead ? longest : Math.min(longest, fresh));
  }

  private long longestMillis(ServerLink link) {
    long named =
        link.keptMillis()
            .map(kept -> kept - KEPT_MARGIN_MILLIS)
            .orElse(settings.idleTimeout().toMillis());
    return Math.min(named, settings.longestIdle().toMillis());
  }

  private void connect(ServerAttempt attempt, String address) {
    long beganMicros = clockMicros.getAsLong();
    counters.increment("servers.connections");
    ServerLink link = new ServerLink(this, form, address);
    ChannelFuture connecting;
    try {
      connecting =
          Channels.client(
                  loop,
                  settings.connectTimeout(),
                  channel -> channel.pipeline().addLast(new HttpClientCodec(), link))
              .connect(Addresses.parse(address));
    } catch (IllegalArgumentException e) {
      attempt.onUnsent(String.valueOf(e.getMessage()));
      return;
    }
    connecting.addListener(
        done -> {
          if (!done.isSuccess()) {
            attempt.onUnsent(String.valueOf(done.cause().getMessage()));
          } else if (!isWanted(attempt)) {
            free(link);
          } else {
            long nowMicros = clockMicros.getAsLong();
            counters.took(LatencyStep.SERVER_CONNECTION, nowMicros - beganMicros);
            link.send(attempt, nowMicros);
          }
        });
  }

  private boolean isWanted(ServerAttempt attempt) {
    boolean isWanted = attempt.isWanted();
    if (!isWanted) {
      counters.increment("servers.sends-unwanted");
    }
    return isWanted;
  }

  private void sweep() {
    for (Deque<ServerLink> links : List.copyOf(free.values())) {
      for (Iterator<ServerLink> each = links.iterator(); each.hasNext(); ) {
        ServerLink link = each.next();
        if (!isUsable(link, true)) {
          each.remove();
          link.close();
        }
      }
    }
    Channels.after(loop, SWEEP_INTERVAL, this::sweep);
  }
}
