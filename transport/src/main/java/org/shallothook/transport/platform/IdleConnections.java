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
 * Open connections that no call uses, by server.
 *
 * <p>Invariant: a few for each server, each closed after a while or as soon as its server closes it
 * or sends anything. Used on the loop of the client alone.
 */
final class IdleConnections {
  private final HttpSettings settings;
  private final Map<InetSocketAddress, Deque<Kept>> byServer = new HashMap<>();

  IdleConnections(HttpSettings settings) {
    this.settings = settings;
  }

  void keep(InetSocketAddress server, Channel channel) {
    Deque<Kept> kept = byServer.computeIfAbsent(server, address -> new ArrayDeque<>());
    if (kept.size() >= settings.maximumIdleConnections()) {
      Channels.close(channel);
      return;
    }
    Kept entry = new Kept(server, channel);
    channel.config().setAutoRead(true);
    channel.pipeline().addLast(entry);
    kept.addLast(entry);
    entry.startTimeout();
  }

  Optional<Channel> take(InetSocketAddress server) {
    Deque<Kept> kept = byServer.get(server);
    Kept entry = kept == null ? null : kept.pollLast();
    while (entry != null) {
      entry.leave();
      if (entry.channel.isActive()) {
        return Optional.of(entry.channel);
      }
      entry = kept.pollLast();
    }
    byServer.remove(server);
    return Optional.empty();
  }

  private void forget(Kept entry) {
    Deque<Kept> kept = byServer.get(entry.server);
    if (kept != null && kept.remove(entry) && kept.isEmpty()) {
      byServer.remove(entry.server);
    }
  }

  /** Watches one kept connection. */
  private final class Kept extends ChannelInboundHandlerAdapter {
    private final InetSocketAddress server;
    private final Channel channel;
    private boolean hasLeft;

    Kept(InetSocketAddress server, Channel channel) {
      this.server = server;
      this.channel = channel;
    }

    void startTimeout() {
      Channels.after(channel.eventLoop(), settings.idleTimeout(), this::close);
    }

    void leave() {
      hasLeft = true;
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
      if (!hasLeft) {
        forget(this);
        Channels.close(channel);
      }
    }
  }
}
