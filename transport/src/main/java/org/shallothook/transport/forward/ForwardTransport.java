package org.shallothook.transport.forward;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.vavr.control.Try;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.temporal.ChronoUnit;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.shallothook.coordination.forward.ForwardCommand;
import org.shallothook.coordination.forward.ForwardEvent;
import org.shallothook.coordination.port.CoreEvent;
import org.shallothook.coordination.port.Counters;
import org.shallothook.coordination.port.DecisionJournal;
import org.shallothook.coordination.port.LatencyStep;
import org.shallothook.transport.Channels;
import org.shallothook.transport.ConnectionKind;
import org.shallothook.transport.EventLoops;
import org.shallothook.transport.decision.EventSink;

/**
 * Manages all connections from callers and to servers, and executes the commands of the decision
 * thread on them.
 *
 * <pre>{@code
 * ForwardTransport transport =
 *     new ForwardTransport(loop, form, ForwardSettings.DEFAULT, thread, metrics, log, clock);
 * transport.listen(address);
 * transport.carryOut(command);
 * }</pre>
 *
 * <p>Invariant: commands for one request are executed in the order in which they are given, and
 * nothing is written to a server for a caller whose connection has closed. Thread-safe.
 */
public final class ForwardTransport {
  private static final int ACCEPT_BACKLOG = 1_024;

  private static final Duration STALL_CHECK_INTERVAL = Duration.ofMillis(250);

  /** Interval between two measurements of the event loop's delay. */
  private static final Duration LOOP_DELAY_INTERVAL = Duration.ofMillis(100);

  /** Interval of checks whether a drain is complete. */
  private static final Duration DRAIN_CHECK_INTERVAL = Duration.ofMillis(20);

  /** Time in which the first request must arrive on a connection accepted late in a drain. */
  private static final Duration LAST_REQUEST_TIMEOUT = Duration.ofMillis(100);

  private final EventLoop loop;
  private final ForwardSettings settings;
  private final ForwardContext context;
  private final ServerConnectionPool serverConnections;
  private final MemoryBudget budget;
  private final Map<Channel, InboundConnection> connections = new HashMap<>();

  /** Accepts connections; empty unless the process is listening. */
  private Optional<Channel> listener = Optional.empty();

  /**
   * Creates a transport that is not listening yet.
   *
   * @param loop event loop of all connections
   * @param form translates the headers of requests and responses
   * @param settings limits and timeouts
   * @param events receives the events of requests and connections
   * @param counters counts connections and refusals
   * @param journal receives a line for each unexpected response of a server, and for each
   *     connection that is closed over a request
   * @param clockMicros the decision clock, in microseconds
   */
  public ForwardTransport(
      EventLoop loop,
      HeaderTranslation form,
      ForwardSettings settings,
      EventSink<CoreEvent> events,
      Counters counters,
      DecisionJournal journal,
      LongSupplier clockMicros) {
    this.loop = loop;
    this.settings = settings;
    this.budget =
        new MemoryBudget(
            settings.maximumHeldBytes(),
            connections::values,
            (delay, task) -> Channels.after(loop, delay, task));
    this.serverConnections =
        new ServerConnectionPool(loop, form, settings, clockMicros, counters, journal, budget);
    this.context =
        new ForwardContext(form, serverConnections, budget, events, counters, journal, clockMicros);
  }

  /** Starts listening and returns the bound address. Blocks until the address is bound. */
  public Try<InetSocketAddress> listen(InetSocketAddress address) {
    return Try.of(
        () -> {
          Channel serverChannel = bootstrap().bind(address).sync().channel();
          loop.execute(() -> listener = Optional.of(serverChannel));
          loop.execute(serverConnections::start);
          loop.execute(() -> measureLoopDelay(context.nowMicros()));
          loop.execute(this::checkStalls);
          return (InetSocketAddress) serverChannel.localAddress();
        });
  }

  /** Executes a command of the decision thread on the event loop. */
  public void carryOut(ForwardCommand command) {
    loop.execute(() -> executeOnLoop(command));
  }

  /**
   * Starts draining. Requests are still served, and each connection is closed after its current
   * response. From the given time on, idle connections are closed; a load balancer without another
   * process to choose may send requests for as long as they are accepted. Once no request is open,
   * the process stops listening.
   *
   * @param closesIdleFromMicros time from which idle connections are closed, on the clock of the
   *     transport; a process that does not listen yet does not wait for it
   * @param whenDrained called on the event loop once every connection is closed, after its caller
   *     has received all responses
   */
  public void drain(long closesIdleFromMicros, Runnable whenDrained) {
    loop.execute(
        () -> {
          context.drain();
          long waitMicros =
              listener.isPresent() ? Math.max(0, closesIdleFromMicros - context.nowMicros()) : 0;
          Channels.after(
              loop,
              Duration.of(waitMicros, ChronoUnit.MICROS),
              () -> {
                context.onDrainPeriodEnded();
                closeIdleConnections();
                stopListeningOnceIdle(whenDrained);
              });
        });
  }

  /**
   * Reports the connections that the process leaves open at its end although they hold a request or
   * a part of a response.
   *
   * @param whenReported called on the event loop afterwards
   */
  public void reportOpenAtEnd(Runnable whenReported) {
    loop.execute(
        () -> {
          connections.values().forEach(InboundConnection::reportOpenAtEnd);
          whenReported.run();
        });
  }

  /**
   * Returns the memory that request bodies and responses need, in bytes. Must be called on the
   * event loop.
   */
  long heldBytes() {
    return budget.reservedBytes()
        + connections.values().stream().mapToLong(InboundConnection::heldBytes).sum();
  }

  private void executeOnLoop(ForwardCommand command) {
    if (command instanceof ForwardCommand.Send send) {
      context
          .find(send.request())
          .ifPresent(exchange -> exchange.send(send.attempt(), send.dispatch()));
    } else if (command instanceof ForwardCommand.Relay relay) {
      context
          .find(relay.request())
          .ifPresent(exchange -> exchange.relay(relay.attempt(), relay.stallMicros()));
    } else if (command instanceof ForwardCommand.GiveUp giveUp) {
      context.find(giveUp.request()).ifPresent(exchange -> exchange.giveUp(giveUp.attempt()));
    } else if (command instanceof ForwardCommand.Drop drop) {
      context.find(drop.request()).ifPresent(exchange -> exchange.drop(drop.attempt()));
    } else if (command instanceof ForwardCommand.Refuse refuse) {
      context.find(refuse.request()).ifPresent(exchange -> exchange.refuse(refuse.refusal()));
    } else if (command instanceof ForwardCommand.BreakOff breakOff) {
      context.find(breakOff.request()).ifPresent(exchange -> exchange.breakOff(breakOff.detail()));
    } else if (command instanceof ForwardCommand.CheckServer check) {
      serverConnections.check(
          check.address(),
          hasCrashed ->
              context.events().deliver(new ForwardEvent.ServerChecked(check.server(), hasCrashed)));
    } else if (command instanceof ForwardCommand.Limit limit) {
      context.setLimits(limit.limits());
    }
  }

  /** Measures the delay between a task's due time and its execution on the event loop. */
  private void measureLoopDelay(long dueMicros) {
    long nowMicros = context.nowMicros();
    context.counters().recordLatency(LatencyStep.LOOP_DELAY, nowMicros - dueMicros);
    long nextMicros = nowMicros + TimeUnit.NANOSECONDS.toMicros(LOOP_DELAY_INTERVAL.toNanos());
    Channels.after(loop, LOOP_DELAY_INTERVAL, () -> measureLoopDelay(nextMicros));
  }

  private void checkStalls() {
    context.openExchangeList().forEach(InboundExchange::checkStall);
    budget.check();
    Channels.after(loop, STALL_CHECK_INTERVAL, this::checkStalls);
  }

  /**
   * Closes idle connections; while the process is listening, those without a request so far stay
   * open, as their first one is on its way.
   */
  private void closeIdleConnections() {
    List.copyOf(connections.values()).stream()
        .filter(connection -> listener.isEmpty() || connection.hasCarriedRequest())
        .forEach(InboundConnection::closeIfIdle);
  }

  /**
   * Stops listening once no request is open. Connections that were established by then are
   * accepted, and get time for their first request.
   */
  private void stopListeningOnceIdle(Runnable whenDrained) {
    if (context.openExchangeCount() > 0) {
      Channels.after(loop, DRAIN_CHECK_INTERVAL, () -> stopListeningOnceIdle(whenDrained));
      return;
    }
    listener.ifPresent(
        open -> {
          acceptAll(open);
          Channels.close(open);
        });
    listener = Optional.empty();
    Channels.after(
        loop,
        LAST_REQUEST_TIMEOUT,
        () -> {
          closeIdleConnections();
          notifyOnceClosed(whenDrained);
        });
  }

  private void acceptAll(Channel open) {
    int before;
    do {
      before = connections.size();
      Channels.acceptPending(open);
    } while (connections.size() > before);
  }

  private void notifyOnceClosed(Runnable whenDrained) {
    if (connections.isEmpty()) {
      whenDrained.run();
    } else {
      Channels.after(loop, DRAIN_CHECK_INTERVAL, () -> notifyOnceClosed(whenDrained));
    }
  }

  private ServerBootstrap bootstrap() {
    return new ServerBootstrap()
        .group(loop)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_REUSEADDR, true)
        .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
        .childOption(ChannelOption.ALLOCATOR, EventLoops.ALLOCATOR)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel channel) {
                Channels.shareLoop(channel, ConnectionKind.CALLER);
                accept(channel);
              }
            });
  }

  private void accept(SocketChannel channel) {
    if (connections.size() >= settings.maximumCallerConnections()) {
      context.counters().increment("callers.too-many-connections");
      Channels.close(channel);
      return;
    }
    InboundConnection connection = new InboundConnection(context);
    connections.put(channel, connection);
    channel.closeFuture().addListener(future -> connections.remove(channel));
    channel
        .pipeline()
        .addLast(
            new StrictRequestDecoder(context.limits().headerBytes()),
            new WholeResponseEncoder(),
            connection);
  }
}
