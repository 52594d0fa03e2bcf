package org.shallothook.benchmarks.measure;

import java.util.List;
import java.util.OptionalLong;
import java.util.stream.Collectors;
import java.util.stream.DoubleStream;
import java.util.stream.Stream;
import org.shallothook.benchmarks.virtual.CallerRecord;
import org.shallothook.benchmarks.virtual.ChatRecord;
import org.shallothook.benchmarks.virtual.PromptSample;
import org.shallothook.benchmarks.virtual.VirtualFleet;

/**
 * Figures of the requests sent within a window of a run.
 *
 * <p>A request without a first token counts as {@link #NEVER_MILLIS} in percentiles.
 *
 * <p>Immutable and thread-safe.
 */
public final class RunMetrics {
  /** Time to the first token of a request that never got one, in milliseconds. */
  public static final double NEVER_MILLIS = 60_000;

  private static final double MILLISECOND_MICROS = 1_000;
  private static final double SECOND_MICROS = 1_000_000;

  private final long fromMicros;
  private final long untilMicros;
  private final List<ChatRecord> chats;
  private final List<PromptSample> samples;
  private final long completedWithin;

  private RunMetrics(
      long fromMicros,
      long untilMicros,
      List<ChatRecord> chats,
      List<PromptSample> samples,
      long completedWithin) {
    this.fromMicros = fromMicros;
    this.untilMicros = untilMicros;
    this.chats = chats;
    this.samples = samples;
    this.completedWithin = completedWithin;
  }

  /** Returns the figures of requests sent, and prompts computed, from one time until another. */
  public static RunMetrics of(VirtualFleet fleet, long fromMicros, long untilMicros) {
    List<ChatRecord> chats = fleet.callers().chats();
    return new RunMetrics(
        fromMicros,
        untilMicros,
        chats.stream().filter(chat -> isIn(chat.sentMicros(), fromMicros, untilMicros)).toList(),
        fleet.ledger().samples().stream()
            .filter(sample -> isIn(sample.atMicros(), fromMicros, untilMicros))
            .toList(),
        chats.stream()
            .filter(chat -> chat.state() == CallerRecord.State.COMPLETE)
            .filter(chat -> isIn(chat.endMicros(), fromMicros, untilMicros))
            .count());
  }

  private static boolean isIn(long atMicros, long fromMicros, long untilMicros) {
    return atMicros >= fromMicros && atMicros < untilMicros;
  }

  /** Returns the figures of the first requests at one router alone. */
  public RunMetrics firstOf(String router, int requests) {
    List<ChatRecord> first =
        chats.stream().filter(chat -> chat.router().equals(router)).limit(requests).toList();
    return only(first);
  }

  /** Returns the figures of one team alone. */
  public RunMetrics ofTeam(String key) {
    return only(chats.stream().filter(chat -> chat.call().key().equals(key)).toList());
  }

  private RunMetrics only(List<ChatRecord> some) {
    var requests = some.stream().map(CallerRecord::request).collect(Collectors.toSet());
    return new RunMetrics(
        fromMicros,
        untilMicros,
        some,
        samples.stream().filter(sample -> requests.contains(sample.attempt().request())).toList(),
        some.stream().filter(chat -> chat.state() == CallerRecord.State.COMPLETE).count());
  }

  /** Returns the number of requests sent. */
  public int requests() {
    return chats.size();
  }

  /** Returns the requests sent. */
  public List<ChatRecord> chats() {
    return chats;
  }

  /** Returns the number of requests sent that are answered completely. */
  public long complete() {
    return chats.stream().filter(chat -> chat.state() == CallerRecord.State.COMPLETE).count();
  }

  /** Returns complete answers a second within the window. */
  public double goodput() {
    return completedWithin * SECOND_MICROS / (untilMicros - fromMicros);
  }

  /** Returns a percentile of the time to the first token, in milliseconds. */
  public double timeToFirstTokenMillis(double percentile) {
    return percentile(
        chats.stream()
            .map(ChatRecord::timeToFirstTokenMicros)
            .mapToDouble(RunMetrics::millisOrNever),
        percentile);
  }

  private static double millisOrNever(OptionalLong micros) {
    return micros.isPresent() ? micros.getAsLong() / MILLISECOND_MICROS : NEVER_MILLIS;
  }

  /** Returns a percentile of the time between tokens, in milliseconds. */
  public double timeBetweenTokensMillis(double percentile) {
    Stream<Long> gaps = chats.stream().flatMap(chat -> chat.gapsMicros().stream());
    return percentile(gaps.mapToDouble(gap -> gap / MILLISECOND_MICROS), percentile);
  }

  private static double percentile(DoubleStream values, double percentile) {
    double[] sorted = values.sorted().toArray();
    if (sorted.length == 0) {
      return NEVER_MILLIS;
    }
    int rank = (int) Math.ceil(percentile / 100 * sorted.length);
    return sorted[Math.max(0, rank - 1)];
  }

  /** Returns the share of prompt tokens that came from the engines' caches. */
  public double hitRate() {
    return share(samples.stream().mapToLong(PromptSample::cachedTokens).sum());
  }

  /** Returns the share of prompt tokens computed although they were at hand elsewhere. */
  public double wastedShare() {
    return share(samples.stream().mapToLong(PromptSample::wastedTokens).sum());
  }

  private double share(long tokens) {
    long all = samples.stream().mapToLong(PromptSample::promptTokens).sum();
    return all == 0 ? 0 : (double) tokens / all;
  }
}
