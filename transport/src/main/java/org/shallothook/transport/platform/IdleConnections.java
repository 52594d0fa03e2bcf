package org.shallothook.transport.platform;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.util.AttributeKey;
import io.netty.util.ReferenceCountUtil;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.shallothook.coordination.port.Counters;
import org.shallothook.transport.Channels;
import org.shallothook.transport.logging.LogComponent;
import org.shallothook.transport.platform.HttpCall.RequestLine;

/**
 * Pool of idle connections, by the request line that each has carried.
 *
 * <p>Invariant: a connection carries one request line only, and no byte has arrived on it since the
 * end of the last response. The number of connections for each request line is limited, as are the
 * idle time of each and the time for which it is used again. Used only on the client's event loop.
 */
final class IdleConnections {
  private static final AttributeKey<Long> FIRST_RELEASE_NANOS =
      AttributeKey.valueOf(IdleConnections.class, "first-release");

  private final HttpSettings settings;
  private final Counters counters;
  private final Map<RequestLine, Deque<IdleConnection>> byRequestLine = new HashMap<>();

  IdleConnections(HttpSettings settings, Counters counters) {
    this.settings = settings;
    this.counters = counters;
  }

  void release(RequestLine requestLine, Channel channel) {
    Deque<IdleConnection> connections =
        byRequestLine.computeIfAbsent(requestLine, line -> new ArrayDeque<>());
    if (connections.size() >= settings.maximumIdleConnections()
        || reused(channel).compareTo(settings.maximumReuse()) >= 0) {
      removeIfEmpty(requestLine, connections);
      Channels.close(channel);
      return;
    }
    IdleConnection connection = new IdleConnection(requestLine, channel);
    connections.addLast(connection);
    channel.config().setAutoRead(true);
    channel.pipeline().addLast(connection);
    // The codec passes bytes that it has not decoded to the next handler when it is removed.
    channel.pipeline().remove(HttpClientCodec.class);
    Channels.after(channel.eventLoop(), settings.idleTimeout(), connection::close);
  }

  Optional<Channel> acquire(RequestLine requestLine) {
    Deque<IdleConnection> connections = byRequestLine.getOrDefault(requestLine, new ArrayDeque<>());
    Optional<Channel> acquired = Optional.empty();
    while (acquired.isEmpty() && !connections.isEmpty()) {
      acquired = connections.removeLast().detachIfOpen();
    }
    removeIfEmpty(requestLine, connections);
    return acquired;
  }

  private static Duration reused(Channel channel) {
    long nowNanos = System.nanoTime();
    Long firstNanos = channel.attr(FIRST_RELEASE_NANOS).setIfAbsent(nowNanos);
    return Duration.ofNanos(firstNanos == null ? 0 : nowNanos - firstNanos);
  }

  private void removeIfEmpty(RequestLine requestLine, Deque<IdleConnection> connections) {
    if (connections.isEmpty()) {
      byRequestLine.remove(requestLine);
    }
  }

  /** Closes one pooled connection on a timeout, surplus data or an error. */
  private final class IdleConnection extends ChannelInboundHandlerAdapter {
    private final RequestLine requestLine;
    private final Channel channel;
    private boolean isDetached;

    IdleConnection(RequestLine requestLine, Channel channel) {
      this.requestLine = requestLine;
      this.channel = channel;
    }

    /** Returns the connection for use unless it is closed, or must be for what has arrived. */
    Optional<Channel> detachIfOpen() {
      if (!Channels.isOpenAfterReading(channel)) {
        return Optional.empty();
      }
      isDetached = true;
      channel.pipeline().remove(this);
      return Optional.of(channel);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object surplus) {
      ReferenceCountUtil.release(surplus);
      if (channel.isActive()) {
        counters.increment("platform.connections-surplus-data");
        LogComponent.PLATFORM.warn(
            "Closed the connection to {}: data arrived after the response to {}.",
            requestLine.address(),
            requestLine.uri());
        close();
      }
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
        Deque<IdleConnection> connections =
            byRequestLine.getOrDefault(requestLine, new ArrayDeque<>());
        connections.remove(this);
        removeIfEmpty(requestLine, connections);
        Channels.close(channel);
      }
    }
  }
}
