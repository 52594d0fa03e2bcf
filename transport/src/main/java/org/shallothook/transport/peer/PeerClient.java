package org.shallothook.transport.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.net.InetSocketAddress;
import org.shallothook.transport.EventLoops;

/**
 * Opens connections to peers.
 *
 * <p>Used only on the peer event loop.
 */
final class PeerClient {
  private final PeerContext context;

  PeerClient(PeerContext context) {
    this.context = context;
  }

  /** Starts to connect. The link is notified of the connection or of the failure. */
  void connect(InetSocketAddress address, PeerLink link) {
    ChannelFuture future =
        new Bootstrap()
            .group(context.loop())
            .channel(NioSocketChannel.class)
            .option(ChannelOption.ALLOCATOR, EventLoops.ALLOCATOR)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.WRITE_BUFFER_WATER_MARK, context.waterMark())
            .option(
                ChannelOption.CONNECT_TIMEOUT_MILLIS,
                (int) context.settings().connectTimeout().toMillis())
            .handler(context.pipeline(() -> new PeerConnection(context, true, link)))
            .connect(address);
    link.connecting(future.channel());
    future.addListener(
        done -> {
          if (!done.isSuccess()) {
            link.connectFailed(future.channel(), String.valueOf(done.cause().getMessage()));
          }
        });
  }
}
