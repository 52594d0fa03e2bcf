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
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.shallothook.coordination.router.RouterCommand;
import org.shallothook.coordination.router.RouterEvent;
import org.shallothook.state.request.RequestId;
import org.shallothook.transport.EventLoops;
import org.shallothook.transport.decision.EventSink;
import org.shallothook.transport.metrics.TransportMetrics;

/**
 * HTTP server for callers: makes events of their requests and carries out the commands that answer
 * them.
 *
 * <pre>{@code
 * CallerServer server = new CallerServer(settings, loops, ids, thread, metrics, clock);
 * server.listen(address);
 * boolean isMine = server.carryOut(command);
 * }</pre>
 *
 * <p>Invariant: each request that was offered ends by one command or by {@link
 * RouterEvent.CallerGone}. Thread-safe; nothing blocks but {@link #listen}.
 */
public final class CallerServer {
  private static final int ACCEPT_BACKLOG = 1_024;

  private final CallerContext context;
  private final EventLoopGroup loops;
  private final ChannelGroup channels = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private final CompletableFuture<Void> closed = new CompletableFuture<>();
  private Channel listening;

  /**
   * Creates a server that does not listen yet.
   *
   * @param settings limits and timeouts
   * @param loops loops that connections run on
   * @param requestIds gives each request its identifier; thread-safe
   * @param events takes the events
   * @param metrics counts refusals and times first tokens
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

  /** Starts to listen and returns the address bound. Waits for the bind. */
  public Try<InetSocketAddress> listen(InetSocketAddress address) {
    return Try.of(
        () -> {
          listening = bootstrap().bind(address).sync().channel();
          return (InetSocketAddress) listening.localAddress();
        });
  }

  /** Carries out a command that answers a caller. Returns whether the command is of that kind. */
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

  /** Returns the number of requests that have no whole answer yet. */
  public int openRequests() {
    return context.open().size();
  }

  /** From now on every connection ends with its current answer; new ones are still accepted. */
  public void drain() {
    context.startClosing();
  }

  /**
   * Stops to listen, lets running answers end and closes each connection after its last byte.
   *
   * @return done when no connection is open
   */
  public CompletableFuture<Void> close() {
    drain();
    listening.close().addListener(done -> closeWhenUnused());
    return closed;
  }

  private void closeWhenUnused() {
    channels.newCloseFuture().addListener(done -> closed.complete(null));
    for (Channel channel : channels) {
      channel
          .eventLoop()
          .execute(() -> channel.pipeline().get(CallerConnection.class).closeWhenUnused());
    }
  }

  private void onExchange(RequestId request, Consumer<CallerExchange> command) {
    CallerExchange exchange = context.open().get(request);
    if (exchange != null) {
      exchange.channel().eventLoop().execute(() -> command.accept(exchange));
    }
  }

  private ServerBootstrap bootstrap() {
    int high = context.settings().maximumPendingBytes();
    return new ServerBootstrap()
        .group(loops)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_REUSEADDR, true)
        .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
        .childOption(ChannelOption.ALLOCATOR, EventLoops.ALLOCATOR)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childOption(
            ChannelOption.WRITE_BUFFER_WATER_MARK, new WriteBufferWaterMark(high / 2, high))
        .childHandler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel channel) {
                channels.add(channel);
                fill(channel.pipeline());
              }
            });
  }

  private void fill(ChannelPipeline pipeline) {
    long stallMillis = context.settings().stallTimeout().toMillis();
    long idleMillis = context.settings().idleTimeout().toMillis();
    pipeline.addLast(new IdleStateHandler(true, 0, stallMillis, idleMillis, TimeUnit.MILLISECONDS));
    pipeline.addLast(new HttpServerCodec());
    pipeline.addLast(new CallerConnection(context));
  }
}
