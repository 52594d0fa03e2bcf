package org.shallothook.transport;

import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelOutboundInvoker;
import io.netty.util.concurrent.EventExecutor;
import io.netty.util.concurrent.ScheduledFuture;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.shallothook.transport.logging.Part;

/**
 * Actions on connections whose failures need no decision of the one who asks for them.
 *
 * <p>Stateless and thread-safe.
 */
public final class Channels {
  private Channels() {}

  /** Closes a connection. */
  public static void close(ChannelOutboundInvoker connection) {
    connection
        .close()
        .addListener(
            done -> {
              if (!done.isSuccess()) {
                Part.PROCESS.debug("Closing failed: {}.", done.cause().getMessage());
              }
            });
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
            Part.PROCESS.error(done.cause(), "A delayed task failed.");
          }
        });
  }
}
