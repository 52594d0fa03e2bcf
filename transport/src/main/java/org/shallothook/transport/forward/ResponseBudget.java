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
 * Bounds the memory of all responses that wait in the process for their rest or for their callers.
 *
 * <p>Above half of the maximum, reading is paused for each caller whose responses hold more than an
 * equal share of that half, so that callers who hold little are still served. Above the maximum,
 * the callers that hold the most lose their responses until a quarter of it is free.
 *
 * <p>Added to the pipeline of each server connection before the codec. What is held is summed up
 * again after each {@link #CHECK_INTERVAL_BYTES} that are read, rather than counted with each
 * write.
 *
 * <p>Invariant: after each check, at most the maximum is held. Confined to the event loop.
 */
@ChannelHandler.Sharable
final class ResponseBudget extends ChannelInboundHandlerAdapter {
  /** A caller whose responses use the budget. */
  interface Holder {
    /** Returns the memory that the caller's responses need, in bytes. */
    long heldBytes();

    /** Pauses or resumes reading the response to the caller. */
    void pauseReading(boolean shouldPause);

    /** Fails or closes whatever holds the most memory for the caller. */
    void shed();
  }

  /** Bytes read from servers between two checks. */
  static final int CHECK_INTERVAL_BYTES = 64 << 10;

  /** Share of the maximum above which reading is paused for callers that hold much. */
  private static final long PAUSE_DIVISOR = 2;

  /** Share of the maximum that is free after callers have been shed. */
  private static final long FREE_DIVISOR = 4;

  /** Interval of checks while reading is paused, after which a caller who has read goes on. */
  private static final Duration PAUSED_CHECK_INTERVAL = Duration.ofMillis(20);

  private final long maximumBytes;
  private final Supplier<? extends Collection<? extends Holder>> holders;
  private final BiConsumer<Duration, Runnable> scheduler;
  private long readSinceCheck;
  private boolean isPausing;
  private boolean isScheduled;

  /**
   * Creates a budget.
   *
   * @param maximumBytes maximum size of all responses that are held
   * @param holders returns all callers
   * @param scheduler runs a task on the event loop after a delay
   */
  ResponseBudget(
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
    context.fireChannelRead(message);
    readSinceCheck += bytes;
    if (readSinceCheck >= CHECK_INTERVAL_BYTES) {
      check();
    }
  }

  /** Sums up what is held, and pauses, resumes and sheds as needed. */
  void check() {
    readSinceCheck = 0;
    long heldBytes = 0;
    int holding = 0;
    for (Holder holder : holders.get()) {
      long bytes = holder.heldBytes();
      heldBytes += bytes;
      holding += bytes > 0 ? 1 : 0;
    }
    if (heldBytes > maximumBytes) {
      heldBytes -= shed(heldBytes - maximumBytes + maximumBytes / FREE_DIVISOR);
    }
    long pauseBytes = maximumBytes / PAUSE_DIVISOR;
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
