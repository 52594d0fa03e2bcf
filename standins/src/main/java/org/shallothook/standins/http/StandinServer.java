package org.shallothook.standins.http;

import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundInvoker;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.shallothook.standins.fault.RequestFault;
import org.tinylog.Logger;

/**
 * Serves one stand-in at its address and, if it has one, at a control address of its own.
 *
 * <p>Control paths are served at both. While the stand-in is down, only the control address stays
 * open.
 *
 * <p>Invariant: everything after {@link #start} runs on the one event loop.
 */
public final class StandinServer {
  private static final int MAXIMUM_BODY_BYTES = 16 << 20;
  private static final int SERVICE_UNAVAILABLE = 503;
  private static final String CONTROL_PREFIX = "control/";
  private static final int BAD_REQUEST = 400;
  private static final long REBIND_RETRY_MICROS = 50_000;

  private final EventLoopGroup loop;
  private final StandinClock clock;
  private final Standin standin;
  private final String name;
  private InetSocketAddress address;
  private Optional<InetSocketAddress> controlAddress;
  private final Set<Channel> connections = new HashSet<>();
  private Channel listener;
  private Future<?> timer;

  /** Creates a server that is not yet started. */
  public StandinServer(
      EventLoopGroup loop,
      StandinClock clock,
      String name,
      Standin standin,
      InetSocketAddress address,
      Optional<InetSocketAddress> controlAddress) {
    this.loop = loop;
    this.clock = clock;
    this.name = name;
    this.standin = standin;
    this.address = address;
    this.controlAddress = controlAddress;
  }

  /** Returns the name of the stand-in. */
  public String name() {
    return name;
  }

  /**
   * Opens the addresses; with port 0, at a free port that is kept from then on.
   *
   * @throws InterruptedException if interrupted meanwhile
   */
  public void start() throws InterruptedException {
    listener = bootstrap(this::serve, true).bind(address).sync().channel();
    address = (InetSocketAddress) listener.localAddress();
    if (controlAddress.isPresent()) {
      Channel control = bootstrap(this::control, false).bind(controlAddress.get()).sync().channel();
      controlAddress = Optional.of((InetSocketAddress) control.localAddress());
    }
    loop.execute(this::refresh);
    Logger.info("standins: {} listens at {}", name, address);
  }

  /** Returns the address that is served. */
  public InetSocketAddress address() {
    return address;
  }

  /** Returns the address of the control paths alone, if there is one. */
  public Optional<InetSocketAddress> controlAddress() {
    return controlAddress;
  }

  private ServerBootstrap bootstrap(ExchangeHandler handler, boolean isTracked) {
    return new ServerBootstrap()
        .group(loop)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.TCP_NODELAY, true)
        .childHandler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel channel) {
                channel
                    .pipeline()
                    .addLast(new HttpServerCodec())
                    .addLast(new HttpObjectAggregator(MAXIMUM_BODY_BYTES))
                    .addLast(new Connection(handler, isTracked));
              }
            });
  }

  private void serve(StandinExchange exchange) {
    if (exchange.path().startsWith(CONTROL_PREFIX)) {
      control(exchange);
      return;
    }
    long now = clock.nowMicros();
    long thawedAt = standin.disturbances().resumedAtMicros(now);
    if (thawedAt > now) {
      var unused = loop.schedule(() -> serve(exchange), thawedAt - now, TimeUnit.MICROSECONDS);
      return;
    }
    standin.advance(now);
    RequestFault fault = standin.fateOf(exchange, now);
    exchange.delayBy(standin.disturbances().responseAtMicros(now) - now);
    switch (fault) {
      case REFUSED -> exchange.answer(SERVICE_UNAVAILABLE);
      case DROPPED -> exchange.drop();
      case ANSWER_LOST -> {
        exchange.loseAnswer();
        standin.handle(exchange, now);
      }
      case SERVED -> standin.handle(exchange, now);
    }
    refresh();
  }

  private void control(StandinExchange exchange) {
    long now = clock.nowMicros();
    standin.advance(now);
    if (exchange.is("GET", "control", "state")) {
      exchange.answer(200, standin.state(now));
    } else if (exchange.is("POST", "control", "*")) {
      JsonObject parameters = Json.objectOf(exchange.body());
      boolean isKnown =
          CommonFaults.apply(standin, exchange.segment(1), new FaultRequest(parameters), now);
      exchange.answer(isKnown ? 200 : 404, Json.object("known", isKnown));
    } else {
      exchange.answer(404, Json.object("error", "Use GET /control/state or POST /control/FAULT."));
    }
    refresh();
  }

  /** Carries out what is due, opens or closes the address, and sets the timer. */
  public void refresh() {
    long now = clock.nowMicros();
    standin.advance(now);
    boolean isDown = standin.isDown(now);
    if (isDown && listener != null) {
      close();
    }
    long next = standin.nextEventMicros();
    if (isDown) {
      next = Math.min(next, Math.max(now, standin.disturbances().downUntilMicros()));
    } else if (listener == null) {
      reopen();
      next = Math.min(next, now + REBIND_RETRY_MICROS);
    }
    setTimer(next, now);
  }

  private void setTimer(long nextMicros, long nowMicros) {
    if (timer != null) {
      timer.cancel(false);
      timer = null;
    }
    if (nextMicros != Standin.NEVER) {
      long delay = Math.max(1, nextMicros - nowMicros);
      timer = loop.schedule(this::refresh, delay, TimeUnit.MICROSECONDS);
    }
  }

  private void close() {
    Logger.info("standins: {} is down", name);
    closeNow(listener);
    listener = null;
    Set.copyOf(connections).forEach(StandinServer::closeNow);
  }

  private static void closeNow(ChannelOutboundInvoker channel) {
    var unused = channel.close();
  }

  private void reopen() {
    bootstrap(this::serve, true)
        .bind(address)
        .addListener(
            (ChannelFuture bound) -> {
              if (bound.isSuccess() && listener == null) {
                listener = bound.channel();
                Logger.info("standins: {} is up again", name);
              }
            });
  }

  private interface ExchangeHandler {
    void handle(StandinExchange exchange);
  }

  private final class Connection extends SimpleChannelInboundHandler<FullHttpRequest> {
    private final ExchangeHandler handler;
    private final boolean isTracked;
    private Optional<StandinExchange> current = Optional.empty();

    Connection(ExchangeHandler handler, boolean isTracked) {
      this.handler = handler;
      this.isTracked = isTracked;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
      if (isTracked) {
        connections.add(context.channel());
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      connections.remove(context.channel());
      current.ifPresent(StandinExchange::closed);
      current = Optional.empty();
      refresh();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
      current.ifPresent(StandinExchange::writabilityChanged);
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
      StandinExchange exchange = new StandinExchange(context.channel(), request);
      current = Optional.of(exchange);
      try {
        handler.handle(exchange);
      } catch (IllegalArgumentException | JsonParseException e) {
        exchange.answer(BAD_REQUEST, Json.object("error", String.valueOf(e.getMessage())));
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      Logger.debug("standins: {} closes a connection: {}", name, cause.getMessage());
      closeNow(context);
    }
  }
}
