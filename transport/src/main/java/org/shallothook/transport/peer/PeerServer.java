package org.shallothook.transport.peer;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.vavr.control.Try;
import java.net.InetSocketAddress;
import org.shallothook.coordination.message.Envelope;
import org.shallothook.transport.Channels;
import org.shallothook.transport.EventLoops;
import org.shallothook.transport.logging.LogComponent;

/**
 * Accepts connections from peers.
 *
 * <p>Invariant: connections beyond the maximum in the settings are closed as soon as they open.
 * Used only on the peer event loop, except for {@link #bind}.
 */
final class PeerServer implements PeerConnection.Owner {
  private final PeerContext context;
  private final PeerConnection.Owner registry;
  private int inboundConnections;
  private Channel listening;

  PeerServer(PeerContext context, PeerConnection.Owner registry) {
    this.context = context;
    this.registry = registry;
  }

  /** Starts to listen and returns the bound address. Blocks until the bind has completed. */
  Try<InetSocketAddress> bind(InetSocketAddress address) {
    return Try.of(
        () -> {
          listening =
              new ServerBootstrap()
                  .group(context.loop())
                  .channel(NioServerSocketChannel.class)
                  .option(ChannelOption.SO_REUSEADDR, true)
                  .childOption(ChannelOption.ALLOCATOR, EventLoops.ALLOCATOR)
                  .childOption(ChannelOption.TCP_NODELAY, true)
                  .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, context.waterMark())
                  .childHandler(context.pipeline(() -> new PeerConnection(context, false, this)))
                  .bind(address)
                  .sync()
                  .channel();
          return (InetSocketAddress) listening.localAddress();
        });
  }

  void close() {
    if (listening != null) {
      Channels.close(listening);
    }
  }

  @Override
  public void openedSocket(PeerConnection connection) {
    inboundConnections++;
    if (inboundConnections > context.settings().maximumConnections()) {
      context.counters().increment("peer.too-many-connections");
      LogComponent.PEER.warn(
          "Refused an inbound connection: {} are open already.", inboundConnections - 1);
      connection.close();
    }
  }

  @Override
  public boolean opened(PeerConnection connection, Envelope hello) {
    return registry.opened(connection, hello);
  }

  @Override
  public void received(PeerConnection connection, Envelope envelope) {
    registry.received(connection, envelope);
  }

  @Override
  public void closed(PeerConnection connection) {
    inboundConnections--;
    registry.closed(connection);
  }
}
