package org.shallothook.coordination.router;

import org.shallothook.coordination.membership.SlownessDetector;
import org.shallothook.coordination.membership.UpstreamDirectory;
import org.shallothook.coordination.message.Hint;

/**
 * Measures upstreams by their streams and ejects those much slower than their peers.
 *
 * <p>Two things are measured: how much later than promised the first token comes, and how long a
 * fixed number of tokens takes after it.
 *
 * <p>Invariant: an attempt gives at most one sample of each kind. Not thread-safe.
 */
final class SlownessMonitor {
  private static final int TOKENS_MEASURED = 100;

  /**
   * Longest promised wait of a first token that counts as a sample of its engine's speed. A long
   * queue or an import that finds nothing makes it late on a sound engine too.
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

  /** Takes in a frame before the attempt does. */
  void onFrame(ChatExchange exchange, Attempt attempt, long nowMicros) {
    if (attempt.firstFrameAtMicros() == 0 && !attempt.isSampled()) {
      sampleFirstToken(exchange, attempt, nowMicros);
    }
  }

  /** Takes in that no frame has come yet. */
  void onTick(ChatExchange exchange, Attempt attempt, long nowMicros) {
    boolean isSilent = attempt.firstFrameAtMicros() == 0 && !attempt.isSampled();
    if (isSilent && isLate(exchange, attempt, nowMicros)) {
      sampleFirstToken(exchange, attempt, nowMicros);
    }
  }

  /** Returns whether the next frame should have come long ago, by the hint and the latest frame. */
  boolean isLate(ChatExchange exchange, Attempt attempt, long nowMicros) {
    long late =
        attempt.firstFrameAtMicros() == 0
            ? latenessMicros(exchange, attempt, nowMicros)
            : nowMicros - attempt.lastFrameAtMicros();
    return late >= options.silenceWaitMicros();
  }

  /** Takes in the end of a complete attempt. */
  void onEnded(ChatExchange exchange, Attempt attempt, long nowMicros) {
    boolean hasReadAll = exchange.consumed() + MINIMUM_TOKENS >= exchange.stream().position();
    if (attempt.tokens() < MINIMUM_TOKENS || !hasReadAll) {
      return;
    }
    long took = attempt.lastFrameAtMicros() - attempt.firstFrameAtMicros();
    sample(laterTokens, exchange, attempt, took * TOKENS_MEASURED / attempt.tokens(), nowMicros);
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
