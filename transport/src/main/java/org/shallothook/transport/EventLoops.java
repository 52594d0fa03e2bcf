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

  /** Event loops whose connections share a meter. */
  private static final class MeteredGroup extends NioEventLoopGroup {
    private final TurnMeter meter;

    private MeteredGroup(int threads, String name, TurnMeter meter) {
      super(threads, new DefaultThreadFactory(name, true));
      this.meter = meter;
    }
  }

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
    return create(callerThreads, TurnMeter.NONE);
  }

  /**
   * Creates the event loops; each thread starts with its first task.
   *
   * @param callerThreads number of threads for connections of callers
   * @param meter measures the turns of all connections
   */
  public static EventLoops create(int callerThreads, TurnMeter meter) {
    return new EventLoops(
        new MeteredGroup(1, "internal", meter), new MeteredGroup(callerThreads, "callers", meter));
  }

  /** Returns the meter of the connections of an event loop. */
  static TurnMeter meterOf(EventLoop loop) {
    return loop.parent() instanceof MeteredGroup group ? group.meter : TurnMeter.NONE;
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
