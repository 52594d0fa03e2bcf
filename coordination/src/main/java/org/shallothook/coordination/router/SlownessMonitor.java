package org.shallothook.coordination.router;

import org.shallothook.coordination.membership.SlownessDetector;
import org.shallothook.coordination.membership.UpstreamDirectory;
import org.shallothook.coordination.message.Hint;

/**
 * Measures the speed of upstreams on their streams and ejects those that are much slower than their
 * peers.
 *
 * <p>Two measurements are taken: how much later than the hint predicted the first token arrives,
 * and the time per fixed number of tokens after it.
 *
 * <p>Invariant: an attempt yields at most one sample of each kind. Not thread-safe.
 */
final class SlownessMonitor {
  private static final int TOKENS_MEASURED = 100;

  /**
   * Maximum expected wait for a first token that is sampled as a measure of its engine's speed, in
   * microseconds. Behind a long queue, or after a cache import that finds nothing, the first token
   * is late on a healthy engine too.
   */
  private static final long MAXIMUM_SAMPLED_WAIT_MICROS = 50_000;

  private static final int MINIMUM_TOKENS = 16;

  private final RouterOptions options;
  private final UpstreamDirectory directory;
  private final SlownessDetector firstTokens;
  private final SlownessDetector laterTokens;

  SlownessMonitor(RouterOptions options, UpstreamDirectory directory) {
    this.options = options;
    this.directory = directory;
    this.firstTokens = new SlownessDetector(options.ejectionShare(), options.ejectionMicros());
    this.laterTokens = new SlownessDetector(options.ejectionShare(), options.ejectionMicros());
  }

  /** Samples a frame. Must be called before the frame is recorded in the attempt. */
  void onFrame(ChatExchange exchange, Attempt attempt, long nowMicros) {
    if (attempt.firstFrameAtMicros() == 0 && !attempt.isSampled()) {
      sampleFirstToken(exchange, attempt, nowMicros);
    }
  }

  /** Samples a first token that is already late. Called on each tick. */
  void onTick(ChatExchange exchange, Attempt attempt, long nowMicros) {
    boolean isSilent = attempt.firstFrameAtMicros() == 0 && !attempt.isSampled();
    if (isSilent && isLate(exchange, attempt, nowMicros)) {
      sampleFirstToken(exchange, attempt, nowMicros);
    }
  }

  /**
   * Returns whether the next frame is overdue by at least the silence timeout, relative to the hint
   * or to the latest frame.
   */
  boolean isLate(ChatExchange exchange, Attempt attempt, long nowMicros) {
    long latenessMicros =
        attempt.firstFrameAtMicros() == 0
            ? latenessMicros(exchange, attempt, nowMicros)
            : nowMicros - attempt.lastFrameAtMicros();
    return latenessMicros >= options.silenceWaitMicros();
  }

  /** Samples the token rate of a completed attempt. */
  void onEnded(ChatExchange exchange, Attempt attempt, long nowMicros) {
    boolean hasConsumedAll = exchange.consumed() + MINIMUM_TOKENS >= exchange.stream().position();
    if (attempt.tokens() < MINIMUM_TOKENS || !hasConsumedAll) {
      return;
    }
    long durationMicros = attempt.lastFrameAtMicros() - attempt.firstFrameAtMicros();
    sample(
        laterTokens,
        exchange,
        attempt,
        durationMicros * TOKENS_MEASURED / attempt.tokens(),
        nowMicros);
  }

  private void sampleFirstToken(ChatExchange exchange, Attempt attempt, long nowMicros) {
    attempt.setSampled();
    if (expectedWaitMicros(exchange, attempt) <= MAXIMUM_SAMPLED_WAIT_MICROS) {
      sample(
          firstTokens, exchange, attempt, latenessMicros(exchange, attempt, nowMicros), nowMicros);
    }
  }

  private long latenessMicros(ChatExchange exchange, Attempt attempt, long nowMicros) {
    return nowMicros - attempt.submittedAtMicros() - expectedWaitMicros(exchange, attempt);
  }

  private long expectedWaitMicros(ChatExchange exchange, Attempt attempt) {
    Hint hint = attempt.hint().orElse(Hint.NONE);
    int missing = Math.max(0, exchange.prompt().keys().size() - hint.matchedBlocks());
    return hint.queueDelayMicros() + missing * options.recomputeMicrosPerBlock();
  }

  private void sample(
      SlownessDetector detector,
      ChatExchange exchange,
      Attempt attempt,
      long micros,
      long nowMicros) {
    boolean wasEjected =
        detector.onSample(
            attempt.upstream(),
            directory.peersOf(exchange.identity().modelVersion(), nowMicros),
            micros,
            nowMicros);
    if (wasEjected) {
      options.counters().increment("ejections");
    }
  }
}
