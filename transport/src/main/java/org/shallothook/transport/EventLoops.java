package org.shallothook.transport;

import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.PooledByteBufAllocator;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.util.concurrent.TimeUnit;

/**
 * Threads of a process that do input and output.
 *
 * <p>Peers, platform and admin share one loop; callers have the others.
 *
 * <p>Invariant: all sockets of a process take their buffers from {@link #ALLOCATOR}, whose memory
 * suits a small heap. Thread-safe.
 */
public final class EventLoops implements AutoCloseable {
  /** Allocator with one arena of small chunks, in place of two arenas a core. */
  public static final ByteBufAllocator ALLOCATOR =
      new PooledByteBufAllocator(true, 1, 1, 8_192, 6, 64, 32, true);

  private static final long QUIET_MILLIS = 0;
  private static final long SHUTDOWN_MILLIS = 2_000;

  private final NioEventLoopGroup internal;
  private final NioEventLoopGroup callers;

  private EventLoops(NioEventLoopGroup internal, NioEventLoopGroup callers) {
    this.internal = internal;
    this.callers = callers;
  }

  /**
   * Starts the threads lazily.
   *
   * @param callerThreads number of threads for callers
   */
  public static EventLoops create(int callerThreads) {
    return new EventLoops(
        new NioEventLoopGroup(1, new DefaultThreadFactory("internal", true)),
        new NioEventLoopGroup(callerThreads, new DefaultThreadFactory("callers", true)));
  }

  /** Returns the loop of peers, platform and admin. */
  public EventLoop internal() {
    return internal.next();
  }

  /** Returns the loops of callers. */
  public NioEventLoopGroup callers() {
    return callers;
  }

  /** Ends the threads after running what they were given. Must not be called on one of them. */
  @Override
  public void close() {
    internal
        .shutdownGracefully(QUIET_MILLIS, SHUTDOWN_MILLIS, TimeUnit.MILLISECONDS)
        .awaitUninterruptibly();
    callers
        .shutdownGracefully(QUIET_MILLIS, SHUTDOWN_MILLIS, TimeUnit.MILLISECONDS)
        .awaitUninterruptibly();
  }
}
