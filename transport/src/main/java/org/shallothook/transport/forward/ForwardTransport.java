package org.shallothook.transport.forward;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.vavr.control.Try;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import org.shallothook.coordination.forward.ForwardCommand;
import org.shallothook.coordination.port.CoreEvent;
import org.shallothook.coordination.port.Counters;
import org.shallothook.coordination.port.LatencyStep;
import org.shallothook.transport.Channels;
import org.shallothook.transport.EventLoops;
import org.shallothook.transport.decision.EventSink;

/**
 * All connections of callers and to servers, as decisions command.
 *
 * <pre>{@code
 * ForwardTransport gate = new ForwardTransport(loop, form, ForwardSettings.DEFAULT, thread, metrics, clock);
 * gate.listen(address);
 * gate.carryOut(command);
 * }</pre>
 *
 * <p>Invariant: commands of one request are carried out in the order given, and nothing is written
 * to a server for a caller whose connection has ended. Thread-safe.
 */
public final class ForwardTransport {
  private static final int ACCEPT_QUEUE = 1_024;

  /** Time between two looks for streams that stand still. */
  private static final Duration STALL_CHECK_INTERVAL = Duration.ofMillis(250);

  /** Time between two measures of how late the loop is. */
  private static final Duration DELAY_INTERVAL = Duration.ofMillis(100);

  /** Time in which the last bytes of answers leave the process. */
  private static final Duration LAST_WRITES = Duration.ofMillis(60);

  private final EventLoop loop;
  private final ForwardSettings settings;
  private final ForwardContext context;
  private final ServerLinks servers;
  private final Map<Channel, InboundConnection> connections = new HashMap<>();
  private Runnable onQuiet = () -> {};

  /**
   * Creates a gate that does not listen yet.
   *
   * @param loop loop that all connections run on
   * @param form form of requests and answers
   * @param settings limits and timeouts
   * @param events takes what happens
   * @param counters counts connections and refusals
   * @param clockMicros the decision clock, in microseconds
   */
  public ForwardTransport(
      EventLoop loop,
      RequestForm form,
      ForwardSettings settings,
      EventSink<CoreEvent> events,
      Counters counters,
      LongSupplier clockMicros) {
    this.loop = loop;
    this.settings = settings;
    this.servers = new ServerLinks(loop, form, settings, clockMicros, counters);
    this.context = new ForwardContext(form, servers, events, counters, clockMicros);
  }

  /** Starts to listen and returns the address bound. Waits for the bind. */
  public Try<InetSocketAddress> listen(InetSocketAddress address) {
    return Try.of(
        () -> {
          Channel listening = bootstrap().bind(address).sync().channel();
          loop.execute(servers::start);
          loop.execute(() -> measureDelay(context.nowMicros()));
          Channels.after(loop, STALL_CHECK_INTERVAL, this::checkStalls);
          return (InetSocketAddress) listening.localAddress();
        });
  }

  /** Carries out a command of the decision thread. */
  public void carryOut(ForwardCommand command) {
    loop.execute(() -> act(command));
  }

  /**
   * Serves on, with each answer the last on its connection. After a while refuses what is new,
   * since a balancer without another choice sends some however long it is told not to, and closes
   * unused connections.
   *
   * @param whenQuiet called on the loop once requests are refused and none is open
   */
  public void drain(Runnable whenLate, Runnable whenQuiet) {
    loop.execute(
        () -> {
          context.drain();
          onQuiet = whenQuiet;
          Channels.after(loop, settings.drainQuiet(), () -> endIdle(whenLate));
        });
  }

  private void act(ForwardCommand command) {
    if (command instanceof ForwardCommand.Send send) {
      context
          .find(send.request())
          .ifPresent(exchange -> exchange.send(send.attempt(), send.dispatch()));
    } else if (command instanceof ForwardCommand.Relay relay) {
      context
          .find(relay.request())
          .ifPresent(exchange -> exchange.relay(relay.attempt(), relay.stallMicros()));
    } else if (command instanceof ForwardCommand.Drop drop) {
      context.find(drop.request()).ifPresent(exchange -> exchange.drop(drop.attempt()));
    } else if (command instanceof ForwardCommand.Refuse refuse) {
      context.find(refuse.request()).ifPresent(exchange -> exchange.refuse(refuse.refusal()));
    } else if (command instanceof ForwardCommand.BreakOff breakOff) {
      context.find(breakOff.request()).ifPresent(exchange -> exchange.breakOff(breakOff.detail()));
    } else if (command instanceof ForwardCommand.Limit limit) {
      context.limit(limit.limits());
    }
  }

  /** Measures how late the loop comes to a task that is due. */
  private void measureDelay(long dueMicros) {
    long nowMicros = context.nowMicros();
    context.counters().took(LatencyStep.LOOP_DELAY, nowMicros - dueMicros);
    long nextMicros = nowMicros + TimeUnit.NANOSECONDS.toMicros(DELAY_INTERVAL.toNanos());
    Channels.after(loop, DELAY_INTERVAL, () -> measureDelay(nextMicros));
  }

  private void checkStalls() {
    context.all().forEach(InboundExchange::checkStall);
    Channels.after(loop, STALL_CHECK_INTERVAL, this::checkStalls);
  }

  private void endIdle(Runnable whenLate) {
    whenLate.run();
    context.onLate();
    List.copyOf(connections.values()).forEach(InboundConnection::closeIfUnused);
    tellQuiet();
  }

  /** Tells that nothing is open, once what was written last has had time to leave. */
  private void tellQuiet() {
    if (context.isLate() && context.openExchanges() == 0) {
      Runnable told = onQuiet;
      onQuiet = () -> {};
      Channels.after(loop, LAST_WRITES, told);
    } else {
      Channels.after(loop, LAST_WRITES, this::tellQuiet);
    }
  }

  private ServerBootstrap bootstrap() {
    return new ServerBootstrap()
        .group(loop)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_REUSEADDR, true)
        .option(ChannelOption.SO_BACKLOG, ACCEPT_QUEUE)
        .childOption(ChannelOption.ALLOCATOR, EventLoops.ALLOCATOR)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel channel) {
                accept(channel);
              }
            });
  }

  private void accept(SocketChannel channel) {
    if (connections.size() >= settings.maximumCallers()) {
      context.counters().increment("callers.too-many-connections");
      Channels.close(channel);
      return;
    }
    InboundConnection connection = new InboundConnection(context);
    connections.put(channel, connection);
    channel.closeFuture().addListener(closed -> connections.remove(channel));
    channel
        .pipeline()
        .addLast(
            new StrictRequestDecoder(context.limits().headerBytes()),
            new HttpResponseEncoder(),
            connection);
  }
}
