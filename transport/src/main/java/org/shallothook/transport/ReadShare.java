package org.shallothook.transport;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelConfig;
import io.netty.channel.RecvByteBufAllocator;
import java.util.concurrent.TimeUnit;

/**
 * Bounds the share of an event loop that a connection gets if its peer sends without pause.
 *
 * <p>A turn of a connection ends once its share of time is used up, and what remains to be read
 * stays in the socket until the next turn, after those of all other connections. As a read cannot
 * be interrupted, less is read at once from a connection whose bytes take long to handle, such as
 * many tiny parts of a body; the size grows again while they take little time.
 *
 * <p>Invariant: a turn goes beyond its share by one read at most, of the size that follows from the
 * time that the one before it took. Confined to the event loop.
 */
final class ReadShare implements RecvByteBufAllocator {
  /** Time after which a turn ends, in nanoseconds. */
  static final long SHARE_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

  /** Bytes that are read at once at least. */
  static final int MINIMUM_READ_BYTES = 512;

  /** Bytes that are read at once at most; Netty's default. */
  static final int MAXIMUM_READ_BYTES = 64 << 10;

  /** Reads at once before the time that they take is known. */
  private static final int INITIAL_READ_BYTES = 8 << 10;

  /** Part of a share below which a read was short, so that the next one may be larger. */
  private static final int SHORT_READ_DIVISOR = 4;

  /** Maximum number of reads in a turn; Netty's default for sockets. */
  private static final int MAXIMUM_READS = 16;

  private final Channel channel;
  private final ConnectionKind kind;
  private final TurnMeter meter;
  private final RecvByteBufAllocator sizes =
      new AdaptiveRecvByteBufAllocator().maxMessagesPerRead(MAXIMUM_READS);

  ReadShare(Channel channel, ConnectionKind kind, TurnMeter meter) {
    this.channel = channel;
    this.kind = kind;
    this.meter = meter;
  }

  @Override
  @SuppressWarnings("deprecation") // Netty has no other type for it.
  public Handle newHandle() {
    return new Turns(sizes.newHandle());
  }

  /** The turns of the connection. */
  private final class Turns extends DelegatingHandle {
    private int maximumBytes = INITIAL_READ_BYTES;
    private long startedNanos;
    private long readNanos;
    private long bytes;

    Turns(Handle delegate) {
      super(delegate);
    }

    @Override
    public void reset(ChannelConfig config) {
      startedNanos = System.nanoTime();
      bytes = 0;
      super.reset(config);
    }

    @Override
    public int guess() {
      return Math.min(maximumBytes, super.guess());
    }

    @Override
    public ByteBuf allocate(ByteBufAllocator allocator) {
      return allocator.ioBuffer(guess());
    }

    @Override
    public void lastBytesRead(int read) {
      readNanos = System.nanoTime();
      bytes += Math.max(0, read);
      super.lastBytesRead(read);
    }

    @Override
    public boolean continueReading() {
      long nowNanos = System.nanoTime();
      maximumBytes = nextMaximumBytes(maximumBytes, lastBytesRead(), nowNanos - readNanos);
      return super.continueReading() && nowNanos - startedNanos < SHARE_NANOS;
    }

    @Override
    public void readComplete() {
      super.readComplete();
      long endedNanos = System.nanoTime();
      meter.record(kind, channel, endedNanos, endedNanos - startedNanos, bytes);
    }
  }

  /**
   * Returns the maximum size of the next read.
   *
   * @param maximumBytes maximum size of the last read
   * @param bytes size of the last read
   * @param handledNanos time that it took to handle them, in nanoseconds
   */
  static int nextMaximumBytes(int maximumBytes, int bytes, long handledNanos) {
    if (handledNanos > SHARE_NANOS) {
      long fittingBytes = bytes * SHARE_NANOS / handledNanos;
      return (int) Math.max(MINIMUM_READ_BYTES, Math.min(maximumBytes / 2, fittingBytes));
    }
    boolean mayGrow = bytes >= maximumBytes && handledNanos < SHARE_NANOS / SHORT_READ_DIVISOR;
    return mayGrow ? Math.min(MAXIMUM_READ_BYTES, 2 * maximumBytes) : maximumBytes;
  }
}
