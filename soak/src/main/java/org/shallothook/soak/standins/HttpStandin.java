package org.shallothook.soak.standins;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpRequestDecoder;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import org.tinylog.Logger;

/**
 * HTTP server on loopback that passes complete requests to a handler.
 *
 * <p>Invariant: all stand-ins of a run share one event loop, so that none needs a lock.
 */
final class HttpStandin {
  private static final int MAX_BODY_BYTES = 4 << 20;

  private final Channel listening;

  HttpStandin(EventLoopGroup loop, Consumer<StandinRequest> handler) {
    listening =
        new ServerBootstrap()
            .group(loop)
            .channel(NioServerSocketChannel.class)
            .childHandler(
                new ChannelInitializer<SocketChannel>() {
                  @Override
                  protected void initChannel(SocketChannel channel) {
                    channel
                        .pipeline()
                        .addLast(
                            new HttpRequestDecoder(),
                            new HttpObjectAggregator(MAX_BODY_BYTES),
                            new Connection(handler));
                  }
                })
            .bind(InetAddress.getLoopbackAddress(), 0)
            .syncUninterruptibly()
            .channel();
  }

  InetSocketAddress address() {
    return (InetSocketAddress) listening.localAddress();
  }

  void close() {
    var unused = listening.close();
  }

  private static final class Connection extends SimpleChannelInboundHandler<FullHttpRequest> {
    private final Consumer<StandinRequest> handler;

    Connection(Consumer<StandinRequest> handler) {
      this.handler = handler;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
      handler.accept(new StandinRequest(context, request));
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      Logger.debug("stand-in: a connection failed: {}", cause.getMessage());
      var unused = context.close();
    }
  }
}
