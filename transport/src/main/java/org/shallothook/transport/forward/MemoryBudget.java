package org.shallothook.transport.forward;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.function.BiConsumer;
import java.util.function.Supplier;

/**
 * Bounds the memory of all requests and responses that wait in the process: of request bodies from
 * their first byte to the end of their request, and of responses that wait for their rest or for
 * their callers.
 *
 * <p>Memory of a request body is reserved before it is read; a body without room is refused. Large
 * bodies leave a part of the maximum to small ones, and all bodies leave a part to responses.
 *
 * <p>What bodies leave is for responses. Above half of it, reading is paused for each caller whose
 * responses hold more than an equal share of that half, so that callers who hold little are still
 * served. Above all of it, the callers that hold the most lose their responses until a quarter of
 * it is free.
 *
 * <p>Added to the pipeline of each server connection before the codec. What responses hold is
 * summed up again before it can have grown beyond the maximum, rather than counted with each write.
 *
 * <p>Invariant: after each part that is read, at most the maximum is held; a response that waited
 * and is now relayed may add to it until the next check. Confined to the event loop.
 */
@ChannelHandler.Sharable
final class MemoryBudget extends ChannelInboundHandlerAdapter {
  /** A caller whose responses use the budget. */
  interface Holder {
    /** Returns the memory that the caller's responses need, in bytes. */
    long heldBytes();

    /** Pauses or resumes reading the response to the caller. */
    void pauseReading(boolean shouldPause);

    /** Fails or closes whatever holds the most memory for the caller. */
    void shed();
  }

  /** Maximum number of bytes read from servers between two checks. */
  static final int CHECK_INTERVAL_BYTES = 64 << 10;

  /** Size up to which a request body is small. */
  static final int SMALL_BODY_BYTES = 64 << 10;

  /**
   * Memory that a response needs for each byte that is read from its server, at most: that of a
   * header field with a name of one byte, no value, and the end of its line.
   */
  private static final long MAXIMUM_GROWTH = 50;

  /** Share of the maximum that large request bodies leave to anything else. */
  private static final long LARGE_BODY_DIVISOR = 4;

  /** Share of the maximum that all request bodies leave to responses. */
  private static final long SMALL_BODY_DIVISOR = 8;

  /** Share of the memory for responses above which reading is paused for callers that hold much. */
  private static final long PAUSE_DIVISOR = 2;

  /** Share of the memory for responses that is free after callers have been shed. */
  private static final long FREE_DIVISOR = 4;

  /** Share of a received buffer up to which its bytes are copied, so that the rest is freed. */
  private static final int UNUSED_DIVISOR = 2;

  /** Interval of checks while reading is paused, after which a caller who has read goes on. */
  private static final Duration PAUSED_CHECK_INTERVAL = Duration.ofMillis(20);

  private final long maximumBytes;
  private final Supplier<? extends Collection<? extends Holder>> holders;
  private final BiConsumer<Duration, Runnable> scheduler;
  private long reservedBytes;

  /** What responses held at the last check. */
  private long responseBytes;

  /** What may be read from servers until the next check. */
  private long unreadBytes = CHECK_INTERVAL_BYTES;

  private boolean isPausing;
  private boolean isScheduled;

  /**
   * Creates a budget.
   *
   * @param maximumBytes maximum size of all request bodies and responses that are held
   * @param holders returns all callers
   * @param scheduler runs a task on the event loop after a delay
   */
  MemoryBudget(
      long maximumBytes,
      Supplier<? extends Collection<? extends Holder>> holders,
      BiConsumer<Duration, Runnable> scheduler) {
    this.maximumBytes = maximumBytes;
    this.holders = holders;
    this.scheduler = scheduler;
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    int bytes = message instanceof ByteBuf buffer ? buffer.readableBytes() : 0;
    context.fireChannelRead(message instanceof ByteBuf buffer ? fitted(buffer) : message);
    spend(bytes);
  }

  /**
   * Reserves memory for a request body, if there is room for it.
   *
   * @param bytes the memory to be reserved
   * @param bodyBytes what the body has reserved afterwards
   */
  boolean reserve(long bytes, long bodyBytes) {
    boolean isLarge = bodyBytes > SMALL_BODY_BYTES;
    long usedBytes = reservedBytes + (isLarge ? responseBytes : 0);
    long keptBytes = maximumBytes / (isLarge ? LARGE_BODY_DIVISOR : SMALL_BODY_DIVISOR);
    if (bytes > maximumBytes - keptBytes - usedBytes) {
      return bytes == 0;
    }
    reservedBytes += bytes;
    // Rounded up, because each byte that is reserved is one that responses may no longer hold.
    spend((bytes + MAXIMUM_GROWTH - 1) / MAXIMUM_GROWTH);
    return true;
  }

  /** Releases reserved memory. */
  void release(long bytes) {
    reservedBytes -= bytes;
  }

  /** Returns the memory that is reserved for request bodies, in bytes. */
  long reservedBytes() {
    return reservedBytes;
  }

  /** Returns a received buffer without the unused memory that its parts would keep. */
  private static ByteBuf fitted(ByteBuf received) {
    int bytes = received.readableBytes();
    if (bytes > received.capacity() / UNUSED_DIVISOR) {
      return received;
    }
    try {
      return received.alloc().directBuffer(bytes).writeBytes(received);
    } finally {
      received.release();
    }
  }

  private void spend(long bytes) {
    unreadBytes -= bytes;
    if (unreadBytes <= 0) {
      check();
    }
  }

  /** Sums up what responses hold, and pauses, resumes and sheds as needed. */
  void check() {
    long availableBytes = maximumBytes - reservedBytes;
    long heldBytes = 0;
    int holding = 0;
    for (Holder holder : holders.get()) {
      long bytes = holder.heldBytes();
      heldBytes += bytes;
      holding += bytes > 0 ? 1 : 0;
    }
    if (heldBytes > availableBytes) {
      heldBytes -= shed(heldBytes - availableBytes + availableBytes / FREE_DIVISOR);
    }
    responseBytes = heldBytes;
    unreadBytes = Math.min(CHECK_INTERVAL_BYTES, (availableBytes - heldBytes) / MAXIMUM_GROWTH);
    long pauseBytes = availableBytes / PAUSE_DIVISOR;
    boolean mustPause = heldBytes > pauseBytes;
    if (mustPause || isPausing) {
      long share = mustPause ? pauseBytes / holding : Long.MAX_VALUE;
      holders.get().forEach(holder -> holder.pauseReading(holder.heldBytes() > share));
      isPausing = mustPause;
    }
    if (isPausing && !isScheduled) {
      isScheduled = true;
      scheduler.accept(PAUSED_CHECK_INTERVAL, this::checkAgain);
    }
  }

  private void checkAgain() {
    isScheduled = false;
    check();
  }

  /** Sheds the callers that hold the most, and returns the bytes that this frees. */
  private long shed(long neededBytes) {
    List<Candidate> largestFirst = new ArrayList<>();
    holders.get().forEach(holder -> largestFirst.add(new Candidate(holder, holder.heldBytes())));
    largestFirst.sort(Comparator.comparingLong(Candidate::heldBytes).reversed());
    long freedBytes = 0;
    for (Candidate candidate : largestFirst) {
      if (freedBytes >= neededBytes) {
        break;
      }
      candidate.holder().shed();
      freedBytes += candidate.heldBytes();
    }
    return freedBytes;
  }

  /** A caller with what it held before any was shed. */
  private record Candidate(Holder holder, long heldBytes) {}
}
