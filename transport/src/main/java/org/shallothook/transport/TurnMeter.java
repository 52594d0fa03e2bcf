package org.shallothook.transport;

import io.netty.channel.Channel;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import org.shallothook.coordination.port.Counters;
import org.shallothook.coordination.port.Decision;
import org.shallothook.coordination.port.DecisionJournal;
import org.shallothook.coordination.port.LatencyStep;

/**
 * Measures for how long single connections occupy an event loop, during which no other connection
 * is served.
 *
 * <p>Invariant: at most one line is written in each interval, which also states how many long turns
 * were left out before it. Thread-safe.
 */
public final class TurnMeter {
  /** Measures nothing. */
  public static final TurnMeter NONE = new TurnMeter(Counters.NONE, DecisionJournal.NONE);

  /** Length from which a turn is logged, in nanoseconds. */
  private static final long LONG_TURN_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  /** Time between two lines, in nanoseconds. */
  private static final long LINE_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final Counters counters;
  private final DecisionJournal journal;
  private long nextLineNanos = Long.MIN_VALUE;
  private long leftOut;

  /**
   * Creates a meter.
   *
   * @param counters receives the length of each turn
   * @param journal receives a line for a long turn
   */
  public TurnMeter(Counters counters, DecisionJournal journal) {
    this.counters = Objects.requireNonNull(counters, "counters");
    this.journal = Objects.requireNonNull(journal, "journal");
  }

  /**
   * Records a turn.
   *
   * @param endedNanos when the turn ended, by {@link System#nanoTime}
   * @param heldNanos how long it took, in nanoseconds
   * @param bytes number of bytes that were read in it
   */
  void record(ConnectionKind kind, Channel channel, long endedNanos, long heldNanos, long bytes) {
    counters.recordLatency(LatencyStep.CONNECTION_TURN, TimeUnit.NANOSECONDS.toMicros(heldNanos));
    if (heldNanos >= LONG_TURN_NANOS) {
      counters.increment("event-loop.long-turns-" + kind.code());
      log(kind, channel, endedNanos, heldNanos, bytes);
    }
  }

  private synchronized void log(
      ConnectionKind kind, Channel channel, long endedNanos, long heldNanos, long bytes) {
    if (nextLineNanos != Long.MIN_VALUE && endedNanos - nextLineNanos < 0) {
      leftOut++;
      return;
    }
    nextLineNanos = endedNanos + LINE_INTERVAL_NANOS;
    journal.write(
        Decision.LONG_TURN,
        kind.code(),
        "address",
        channel.remoteAddress(),
        "held_ms",
        TimeUnit.NANOSECONDS.toMillis(heldNanos),
        "bytes",
        bytes,
        "left_out",
        leftOut);
    leftOut = 0;
  }
}
