package org.shallothook.transport;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundInvoker;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.EventExecutor;
import io.netty.util.concurrent.ScheduledFuture;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.shallothook.transport.logging.LogComponent;

/**
 * Operations on connections that handle their own failures, so that callers need not check them.
 *
 * <p>Stateless and thread-safe.
 */
public final class Channels {
  /** Time for which the other side may go on sending after a graceful close. */
  public static final Duration GRACEFUL_CLOSE_TIMEOUT = Duration.ofSeconds(2);

  /**
   * Bytes that the operating system takes of a request before the other side has received them.
   * Bounded, so that a request whose other side reads nothing does not pass for one that was
   * written.
   */
  private static final int SEND_BUFFER_BYTES = 128 << 10;

  private static final ChannelFutureListener REPORT_FAILURE = Channels::reportFailure;

  private Channels() {}

  /**
   * Returns a bootstrap that opens connections to other processes.
   *
   * @param loop event loop of the connections
   * @param kind whom the connections are to
   * @param connectTimeout timeout of connecting
   * @param pipeline adds the handlers of a new connection
   */
  public static Bootstrap client(
      EventLoop loop,
      ConnectionKind kind,
      Duration connectTimeout,
      Consumer<SocketChannel> pipeline) {
    return new Bootstrap()
        .group(loop)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.ALLOCATOR, EventLoops.ALLOCATOR)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.SO_SNDBUF, SEND_BUFFER_BYTES)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) connectTimeout.toMillis())
        .handler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel channel) {
                shareLoop(channel, kind);
                pipeline.accept(channel);
              }
            });
  }

  /** Lets a new connection share its event loop with others; must precede its first read. */
  public static void shareLoop(Channel connection, ConnectionKind kind) {
    TurnMeter meter = EventLoops.meterOf(connection.eventLoop());
    connection.config().setRecvByteBufAllocator(new ReadShare(connection, kind, meter));
  }

  /** Closes a connection. */
  public static void close(ChannelOutboundInvoker connection) {
    connection
        .close()
        .addListener(
            done -> {
              if (!done.isSuccess()) {
                LogComponent.PROCESS.debug(
                    "Closing a connection failed: {}.", done.cause().getMessage());
              }
            });
  }

  /**
   * Closes a connection gracefully, so that everything written is delivered: shuts the output down
   * after pending writes, and closes when the other side has closed too or after a timeout. Until
   * then, the handler must read and drop incoming data, because closing a socket with unread bytes
   * resets the connection, and the other side would lose what it has not read yet.
   */
  public static void closeAfterWrites(SocketChannel connection) {
    closeAfterWrites(connection, GRACEFUL_CLOSE_TIMEOUT);
  }

  /** Closes a connection like {@link #closeAfterWrites(SocketChannel)}, with the given timeout. */
  public static void closeAfterWrites(SocketChannel connection, Duration timeout) {
    connection
        .writeAndFlush(Unpooled.EMPTY_BUFFER)
        .addListener(
            done -> connection.shutdownOutput().addListener(ended -> linger(connection, timeout)));
  }

  private static void linger(SocketChannel connection, Duration timeout) {
    connection.config().setAutoRead(true);
    after(connection.eventLoop(), timeout, () -> close(connection));
  }

  /**
   * Reads pending data of a connection immediately, which detects a close by the other side, and
   * returns whether the connection is still open. Otherwise the event loop would read it only after
   * the tasks of its current iteration. Must be called on the connection's event loop; a connection
   * with auto-read off is not read.
   */
  public static boolean isOpenAfterReading(Channel connection) {
    if (connection.isActive() && connection.config().isAutoRead()) {
      ((AbstractNioChannel) connection).unsafe().read();
    }
    return connection.isActive();
  }

  /**
   * Accepts connections that are established and wait in the listen queue, which would be reset
   * when the listener is closed; there may be more. Must be called on the listener's event loop.
   */
  public static void acceptPending(Channel listener) {
    if (listener.isActive()) {
      ((AbstractNioChannel) listener).unsafe().read();
    }
  }

  /**
   * Writes a message without flushing. If the write fails on an open connection, its handlers get
   * the exception, and must close the connection.
   */
  public static void write(ChannelOutboundInvoker connection, Object message) {
    connection.write(message).addListener(REPORT_FAILURE);
  }

  /** Writes a message like {@link #write}, and flushes. */
  public static void writeAndFlush(ChannelOutboundInvoker connection, Object message) {
    connection.writeAndFlush(message).addListener(REPORT_FAILURE);
  }

  private static void reportFailure(ChannelFuture written) {
    if (!written.isSuccess() && written.channel().isActive()) {
      written.channel().pipeline().fireExceptionCaught(written.cause());
    }
  }

  /** Schedules a task that is never cancelled; logs an exception that it throws. */
  public static void after(EventExecutor loop, Duration delay, Runnable task) {
    ScheduledFuture<?> scheduled = loop.schedule(task, delay.toMillis(), TimeUnit.MILLISECONDS);
    scheduled.addListener(
        done -> {
          if (!done.isSuccess() && !done.isCancelled()) {
            LogComponent.PROCESS.error(done.cause(), "A delayed task failed.");
          }
        });
  }
}
