package org.shallothook.transport;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelConfig;
import io.netty.channel.RecvByteBufAllocator;

/**
 * Measures the turns of a connection's reads: all that is read and handled of it while other
 * connections of the event loop wait.
 *
 * <p>Confined to the event loop.
 */
final class ReadShare implements RecvByteBufAllocator {
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
    private long startedNanos;
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
    public ByteBuf allocate(ByteBufAllocator allocator) {
      return allocator.ioBuffer(guess());
    }

    @Override
    public void lastBytesRead(int read) {
      bytes += Math.max(0, read);
      super.lastBytesRead(read);
    }

    @Override
    public void readComplete() {
      super.readComplete();
      long endedNanos = System.nanoTime();
      meter.record(kind, channel, endedNanos, endedNanos - startedNanos, bytes);
    }
  }
}
