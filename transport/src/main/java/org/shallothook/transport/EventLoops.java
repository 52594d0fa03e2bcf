package org.shallothook.transport;

import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.PooledByteBufAllocator;
import io.netty.channel.EventLoop;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.util.concurrent.TimeUnit;

/**
 * I/O threads of a process.
 *
 * <p>Connections to peers and to the platform and the admin port share one event loop; connections
 * of callers use the others.
 *
 * <p>Invariant: all sockets of a process allocate buffers from {@link #ALLOCATOR}, which is sized
 * for a small heap. Thread-safe.
 */
public final class EventLoops implements AutoCloseable {
  /** Allocator with one arena of small chunks; Netty's default is two arenas per core. */
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
   * Creates the event loops; each thread starts with its first task.
   *
   * @param callerThreads number of threads for connections of callers
   */
  public static EventLoops create(int callerThreads) {
    return new EventLoops(
        new NioEventLoopGroup(1, new DefaultThreadFactory("internal", true)),
        new NioEventLoopGroup(callerThreads, new DefaultThreadFactory("callers", true)));
  }

  /** Returns the event loop of peers, platform and admin. */
  public EventLoop internal() {
    return internal.next();
  }

  /** Returns the event loops of callers. */
  public NioEventLoopGroup callers() {
    return callers;
  }

  /** Stops the threads after their pending tasks. Must not be called on one of them. */
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
