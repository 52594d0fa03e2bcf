package org.shallothook.transport;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
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
 * Actions on connections whose failures need no decision of the one who asks for them.
 *
 * <p>Stateless and thread-safe.
 */
public final class Channels {
  private static final Duration LINGER = Duration.ofSeconds(2);

  private Channels() {}

  /**
   * Returns what opens connections to other processes.
   *
   * @param loop loop that they run on
   * @param connectTimeout longest wait for a connection
   * @param pipeline adds the handlers of a new connection
   */
  public static Bootstrap client(
      EventLoop loop, Duration connectTimeout, Consumer<SocketChannel> pipeline) {
    return new Bootstrap()
        .group(loop)
        .channel(NioSocketChannel.class)
        .option(ChannelOption.ALLOCATOR, EventLoops.ALLOCATOR)
        .option(ChannelOption.TCP_NODELAY, true)
        .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, (int) connectTimeout.toMillis())
        .handler(
            new ChannelInitializer<SocketChannel>() {
              @Override
              protected void initChannel(SocketChannel channel) {
                pipeline.accept(channel);
              }
            });
  }

  /** Closes a connection. */
  public static void close(ChannelOutboundInvoker connection) {
    connection
        .close()
        .addListener(
            done -> {
              if (!done.isSuccess()) {
                LogComponent.PROCESS.debug("Closing failed: {}.", done.cause().getMessage());
              }
            });
  }

  /**
   * Ends a connection so that everything written arrives: says that nothing more will be written,
   * and closes once the other side has closed too, or after a while. What still arrives must be
   * read and dropped until then, because closing with unread bytes resets the connection and the
   * other side would lose what it has not read yet.
   */
  public static void closeAfterWrites(SocketChannel connection) {
    connection
        .writeAndFlush(Unpooled.EMPTY_BUFFER)
        .addListener(done -> connection.shutdownOutput().addListener(ended -> linger(connection)));
  }

  private static void linger(SocketChannel connection) {
    connection.config().setAutoRead(true);
    after(connection.eventLoop(), LINGER, () -> close(connection));
  }

  /**
   * Reads what has arrived on a connection by now, and returns whether it is still open after that.
   * The event loop would read it only after the tasks of its present round. Used on the loop alone;
   * a connection that is not to be read is left alone.
   */
  public static boolean isOpenAfterReading(Channel connection) {
    if (connection.isActive() && connection.config().isAutoRead()) {
      ((AbstractNioChannel) connection).unsafe().read();
    }
    return connection.isActive();
  }

  /** Hands a message over for the next flush; closes the connection where it cannot be written. */
  public static void write(ChannelOutboundInvoker connection, Object message) {
    connection.write(message).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
  }

  /** Writes a message and flushes; closes the connection where it cannot be written. */
  public static void writeAndFlush(ChannelOutboundInvoker connection, Object message) {
    connection.writeAndFlush(message).addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
  }

  /** Runs a task on a loop after a while, for tasks that are never cancelled. */
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
