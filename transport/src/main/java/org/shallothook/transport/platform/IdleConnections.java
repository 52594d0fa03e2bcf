package org.shallothook.transport.platform;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.shallothook.transport.Channels;

/**
 * Pool of idle connections, by server address.
 *
 * <p>Invariant: the number of connections to each server is limited. A connection is closed after
 * the idle timeout, or when the server closes it or sends data that was not requested. Used only on
 * the client's event loop.
 */
final class IdleConnections {
  private final HttpSettings settings;
  private final Map<InetSocketAddress, Deque<IdleConnection>> byServer = new HashMap<>();

  IdleConnections(HttpSettings settings) {
    this.settings = settings;
  }

  void release(InetSocketAddress server, Channel channel) {
    Deque<IdleConnection> connections =
        byServer.computeIfAbsent(server, address -> new ArrayDeque<>());
    if (connections.size() >= settings.maximumIdleConnections()) {
      Channels.close(channel);
      return;
    }
    IdleConnection connection = new IdleConnection(server, channel);
    channel.config().setAutoRead(true);
    channel.pipeline().addLast(connection);
    connections.addLast(connection);
    connection.startTimeout();
  }

  Optional<Channel> acquire(InetSocketAddress server) {
    Deque<IdleConnection> connections = byServer.get(server);
    IdleConnection connection = connections == null ? null : connections.pollLast();
    while (connection != null) {
      connection.detach();
      if (connection.channel.isActive()) {
        return Optional.of(connection.channel);
      }
      connection = connections.pollLast();
    }
    byServer.remove(server);
    return Optional.empty();
  }

  private void remove(IdleConnection connection) {
    Deque<IdleConnection> connections = byServer.get(connection.server);
    if (connections != null && connections.remove(connection) && connections.isEmpty()) {
      byServer.remove(connection.server);
    }
  }

  /** Closes one pooled connection on a timeout, unexpected data or an error. */
  private final class IdleConnection extends ChannelInboundHandlerAdapter {
    private final InetSocketAddress server;
    private final Channel channel;
    private boolean isDetached;

    IdleConnection(InetSocketAddress server, Channel channel) {
      this.server = server;
      this.channel = channel;
    }

    void startTimeout() {
      Channels.after(channel.eventLoop(), settings.idleTimeout(), this::close);
    }

    void detach() {
      isDetached = true;
      channel.pipeline().remove(this);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object unexpected) {
      ReferenceCountUtil.release(unexpected);
      close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      close();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      close();
    }

    private void close() {
      if (!isDetached) {
        remove(this);
        Channels.close(channel);
      }
    }
  }
}
