package org.shallothook.benchmarks.demo;

import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.LongAdder;
import org.HdrHistogram.AbstractHistogram;

/**
 * Result of a demonstration.
 *
 * <p>Immutable once the load has ended.
 *
 * @param chats chats sent
 * @param complete chats answered completely
 * @param firstTokenNanos times to the first token of complete chats
 * @param bookings bookings, each sent twice
 * @param bookingsAgreed bookings whose two answers were the same
 * @param refusals refused or failed requests by reason
 * @param upstreams counters of the stand-ins
 */
record DemoReport(
    long chats,
    long complete,
    AbstractHistogram firstTokenNanos,
    long bookings,
    long bookingsAgreed,
    Map<String, LongAdder> refusals,
    UpstreamCounters upstreams) {
  private static final double NANOS_IN_MILLISECOND = 1_000_000.0;

  /** Returns whether every chat was answered, and every booking ran once and answered the same. */
  boolean isSound() {
    return chats > 0
        && complete == chats
        && bookingsAgreed == bookings
        && upstreams.runOnce() == bookings
        && upstreams.runAgain() == 0;
  }

  /** Returns the table for people. */
  String table() {
    StringBuilder table = new StringBuilder();
    row(table, "requests", Long.toString(chats + 2 * bookings));
    row(table, "chats complete", complete + " of " + chats);
    row(table, "TTFT p50", millis(50));
    row(table, "TTFT p95", millis(95));
    row(table, "TTFT p99", millis(99));
    row(table, "prefix hit rate", percent(upstreams.hitRate()));
    row(table, "wasted recomputation", percent(upstreams.recomputedShare()));
    row(table, "bookings run once", upstreams.runOnce() + " of " + bookings);
    row(table, "bookings run again", Long.toString(upstreams.runAgain()));
    row(table, "repeats answered the same", bookingsAgreed + " of " + bookings);
    row(table, "refusals", refusals.isEmpty() ? "none" : "");
    new TreeMap<>(refusals).forEach((reason, count) -> row(table, "  " + reason, count.toString()));
    return table.toString();
  }

  private String millis(double percentile) {
    double millis = firstTokenNanos.getValueAtPercentile(percentile) / NANOS_IN_MILLISECOND;
    return String.format(Locale.ROOT, "%.1f ms", millis);
  }

  private static String percent(double share) {
    return String.format(Locale.ROOT, "%.1f %%", share * 100);
  }

  private static void row(StringBuilder table, String name, String value) {
    table.append(String.format(Locale.ROOT, "%-28s %s%n", name, value));
  }
}
