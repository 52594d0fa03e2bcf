package org.shallothook.transport.caller;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.util.concurrent.GlobalEventExecutor;
import io.vavr.control.Try;
import java.net.InetSocketAddress;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.shallothook.coordination.router.RouterCommand;
import org.shallothook.coordination.router.RouterEvent;
import org.shallothook.state.request.RequestId;
import org.shallothook.transport.Channels;
import org.shallothook.transport.ConnectionKind;
import org.shallothook.transport.EventLoops;
import org.shallothook.transport.decision.EventSink;
import org.shallothook.transport.metrics.TransportMetrics;

/**
 * HTTP server for callers: turns their requests into events and executes the commands that respond
 * to them.
 *
 * <pre>{@code
 * CallerServer server = new CallerServer(settings, loops, ids, thread, metrics, clock);
 * server.listen(address);
 * boolean isExecuted = server.carryOut(command);
 * }</pre>
 *
 * <p>Invariant: each request that was offered ends with one command or with {@link
 * RouterEvent.CallerGone}. Thread-safe; only {@link #listen} blocks.
 */
public final class CallerServer {
  private static final int ACCEPT_BACKLOG = 1_024;

  private final CallerContext context;
  private final EventLoopGroup loops;
  private final ChannelGroup channels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private final CompletableFuture<Void> closed = new CompletableFuture<>();
  private Optional<Channel> listener = Optional.empty();

  /**
   * Creates a server that is not listening yet.
   *
   * @param settings limits and timeouts
   * @param loops event loops of the connections
   * @param requestIds generates the identifiers of requests; thread-safe
   * @param events receives the events
   * @param metrics counts refusals and records the time to the first token
   * @param clockMicros clock in microseconds since the epoch
   */
  public CallerServer(
      CallerSettings settings,
      EventLoopGroup loops,
      Supplier<RequestId> requestIds,
      EventSink<RouterEvent> events,
      TransportMetrics metrics,
      LongSupplier clockMicros) {
    this.context = new CallerContext(settings, requestIds, events, metrics, clockMicros);
    this.loops = loops;
  }

  /** Starts listening and returns the bound address. Blocks until the address is bound. */
  public Try<InetSocketAddress> listen(InetSocketAddress address) {
    return Try.of(
        () -> {
          Channel bound = bootstrap().bind(address).sync().channel();
          listener = Optional.of(bound);
          return (InetSocketAddress) bound.localAddress();
        });
  }

  /** Executes a command that responds to a caller. Returns false for any other command. */
  public boolean carryOut(RouterCommand command) {
    if (command instanceof RouterCommand.SendTokens tokens) {
      onExchange(tokens.request(), exchange -> exchange.sendTokens(tokens));
    } else if (command instanceof RouterCommand.CompleteAnswer answer) {
      onExchange(answer.request(), exchange -> exchange.complete(answer));
    } else if (command instanceof RouterCommand.AnswerCall answer) {
      onExchange(answer.request(), exchange -> exchange.answerCall(answer));
    } else if (command instanceof RouterCommand.AnswerModels answer) {
      onExchange(answer.request(), exchange -> exchange.answerModels(answer));
    } else if (command instanceof RouterCommand.Refuse refusal) {
      onExchange(refusal.request(), exchange -> exchange.refuse(refusal.refusal()));
    } else {
      return false;
    }
    return true;
  }

  /** Returns the number of requests without a complete response. */
  public int openRequests() {
    return context.openExchanges().size();
  }

  /**
   * Closes each connection after its current response, unless that began before or further requests
   * are queued behind it; new connections are still accepted.
   */
  public void drain() {
    context.startClosing();
  }

  /**
   * Stops listening, lets open responses finish and closes each connection after its last byte.
   *
   * @return completes when no connection is open
   */
  public CompletableFuture<Void> close() {
    drain();
    context.onDrained();
    listener.ifPresentOrElse(
        open -> open.close().addListener(future -> closeIdleConnections()),
        this::closeIdleConnections);
    return closed;
  }

  private void closeIdleConnections() {
    channels.newCloseFuture().addListener(future -> closed.complete(null));
    for (Channel channel : channels) {
      channel
          .eventLoop()
          .execute(() -> channel.pipeline().get(CallerConnection.class).closeWhenIdle());
    }
  }

  private void onExchange(RequestId request, Consumer<CallerExchange> command) {
    CallerExchange exchange = context.openExchanges().get(request);
    if (exchange != null) {
      exchange.channel().eventLoop().execute(() -> command.accept(exchange));
    }
  }

  private ServerBootstrap bootstrap() {
    int highWaterMark = context.settings().maximumPendingBytes();
    return new ServerBootstrap()
        .group(loops)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_REUSEADDR, true)
        .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
        .childOption(ChannelOption.ALLOCATOR, EventLoops.ALLOCATOR)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childOption(
            ChannelOption.WRITE_BUFFER_WATER_MARK,
            new WriteBufferWaterMark(highWaterMark / 2, highWaterMark))
        .childHandler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel channel) {
                Channels.shareLoop(channel, ConnectionKind.CALLER);
                channels.add(channel);
                configure(channel.pipeline());
              }
            });
  }

  private void configure(ChannelPipeline pipeline) {
    long stallMillis = context.settings().stallTimeout().toMillis();
    long idleMillis = context.settings().idleTimeout().toMillis();
    pipeline.addLast(new IdleStateHandler(true, 0, stallMillis, idleMillis, TimeUnit.MILLISECONDS));
    pipeline.addLast(new HttpServerCodec());
    pipeline.addLast(new CallerConnection(context));
  }
}
