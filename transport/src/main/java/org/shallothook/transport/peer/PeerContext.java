package org.shallothook.transport.peer;

import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.EventLoop;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.group.ChannelGroup;
import io.netty.channel.group.DefaultChannelGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.flush.FlushConsolidationHandler;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.util.concurrent.GlobalEventExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.shallothook.coordination.port.Counters;
import org.shallothook.transport.Channels;
import org.shallothook.transport.ConnectionKind;

/**
 * State that all connections to peers share.
 *
 * <p>Used only on the peer event loop, except for construction and {@link #settings}.
 */
final class PeerContext {
  private final PeerIdentity identity;
  private final PeerSettings settings;
  private final EventLoop loop;
  private final PeerListener listener;
  private final Counters counters;
  private final ChannelGroup sockets = new DefaultChannelGroup(GlobalEventExecutor.INSTANCE);
  private long configurationOffset;

  PeerContext(
      PeerIdentity identity,
      PeerSettings settings,
      EventLoop loop,
      PeerListener listener,
      Counters counters) {
    this.identity = identity;
    this.settings = settings;
    this.loop = loop;
    this.listener = listener;
    this.counters = counters;
  }

  PeerIdentity identity() {
    return identity;
  }

  PeerSettings settings() {
    return settings;
  }

  EventLoop loop() {
    return loop;
  }

  PeerListener listener() {
    return listener;
  }

  Counters counters() {
    return counters;
  }

  /** Returns the highest configuration offset sent to any peer so far. */
  long configurationOffset() {
    return configurationOffset;
  }

  /** Returns all open sockets, including those without a Hello from the peer. */
  ChannelGroup sockets() {
    return sockets;
  }

  void recordConfigurationOffset(long offset) {
    configurationOffset = Math.max(configurationOffset, offset);
  }

  WriteBufferWaterMark waterMark() {
    int high = settings.maximumPendingBytes();
    return new WriteBufferWaterMark(high / 2, high);
  }

  /** Returns the initializer that adds the handlers of a new connection. */
  ChannelInitializer<SocketChannel> pipeline(Supplier<PeerConnection> connections) {
    return new ChannelInitializer<>() {
      @Override
      protected void initChannel(SocketChannel channel) {
        Channels.shareLoop(channel, ConnectionKind.PEER);
        sockets.add(channel);
        addHandlers(channel.pipeline(), connections.get());
      }
    };
  }

  private void addHandlers(ChannelPipeline pipeline, PeerConnection connection) {
    long silenceMillis = settings.silenceTimeout().toMillis();
    long heartbeatMillis = settings.heartbeatInterval().toMillis();
    pipeline.addLast(
        new IdleStateHandler(silenceMillis, heartbeatMillis, 0, TimeUnit.MILLISECONDS));
    pipeline.addLast(
        new FlushConsolidationHandler(
            FlushConsolidationHandler.DEFAULT_EXPLICIT_FLUSH_AFTER_FLUSHES, true));
    pipeline.addLast(
        new LengthFieldBasedFrameDecoder(
            settings.maximumFrameBytes() + Integer.BYTES, 0, Integer.BYTES, 0, Integer.BYTES));
    pipeline.addLast(connection);
  }
}
