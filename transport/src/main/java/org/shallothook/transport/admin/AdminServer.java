package org.shallothook.transport.admin;

import com.codahale.metrics.MetricRegistry;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.timeout.ReadTimeoutHandler;
import io.vavr.control.Try;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.BooleanSupplier;
import org.shallothook.transport.Channels;
import org.shallothook.transport.ConnectionKind;
import org.shallothook.transport.EventLoops;

/**
 * HTTP server for operators and probes: {@code /healthz}, {@code /metrics} and the handlers that a
 * binary adds.
 *
 * <pre>{@code
 * AdminServer admin = new AdminServer(loop, registry, () -> isLeaving);
 * admin.get("/status", request -> thread.query(status).thenApply(AdminResponse::ok));
 * admin.listen(Addresses.parse("127.0.0.1:9901"));
 * }</pre>
 *
 * <p>A handler also receives requests to the paths below its own. The server does not authenticate
 * requests, so it should listen only on a loopback address.
 *
 * <p>Handlers must be added before {@link #listen}, which may be called for several addresses.
 * Otherwise thread-safe.
 */
public final class AdminServer implements AutoCloseable {
  private static final int MAX_BODY_BYTES = 4 << 20;
  private static final int READ_TIMEOUT_SECONDS = 120;

  private final EventLoop loop;
  private final Map<String, AdminHandler> gets = new TreeMap<>();
  private final Map<String, AdminHandler> posts = new TreeMap<>();
  private final List<Channel> listening = new CopyOnWriteArrayList<>();

  /**
   * Creates a server that does not listen yet.
   *
   * @param loop event loop of all connections
   * @param metrics metrics to export
   * @param isLeaving whether the process is shutting down and accepts no new requests
   */
  public AdminServer(EventLoop loop, MetricRegistry metrics, BooleanSupplier isLeaving) {
    this.loop = loop;
    get("/healthz", request -> CompletableFuture.completedFuture(health(isLeaving)));
    get("/metrics", new MetricsHandler(metrics));
  }

  /** Adds a handler of GET requests. */
  public AdminServer get(String path, AdminHandler handler) {
    gets.put(path, handler);
    return this;
  }

  /** Adds a handler of POST requests. */
  public AdminServer post(String path, AdminHandler handler) {
    posts.put(path, handler);
    return this;
  }

  /** Starts to listen and returns the bound address. Blocks until the bind has completed. */
  public Try<InetSocketAddress> listen(InetSocketAddress address) {
    return Try.of(
        () -> {
          Channel channel = bootstrap().bind(address).sync().channel();
          listening.add(channel);
          return (InetSocketAddress) channel.localAddress();
        });
  }

  /** Stops listening; open connections are not closed. */
  @Override
  public void close() {
    listening.forEach(Channels::close);
  }

  private static AdminResponse health(BooleanSupplier isLeaving) {
    return isLeaving.getAsBoolean()
        ? AdminResponse.json(503, "{\"state\":\"leaving\"}")
        : AdminResponse.ok("{\"state\":\"serving\"}");
  }

  private ServerBootstrap bootstrap() {
    return new ServerBootstrap()
        .group(loop)
        .channel(NioServerSocketChannel.class)
        .option(ChannelOption.SO_REUSEADDR, true)
        .childOption(ChannelOption.ALLOCATOR, EventLoops.ALLOCATOR)
        .childHandler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel channel) {
                Channels.shareLoop(channel, ConnectionKind.ADMIN);
                channel
                    .pipeline()
                    .addLast(
                        new ReadTimeoutHandler(READ_TIMEOUT_SECONDS),
                        new HttpServerCodec(),
                        new HttpObjectAggregator(MAX_BODY_BYTES, true),
                        new AdminConnection(Map.of(HttpMethod.GET, gets, HttpMethod.POST, posts)));
              }
            });
  }
}
