package org.shallothook.coordination.forward;

/**
 * Estimates how fast servers prefill prompts, from measured times to first output.
 *
 * <p>Invariant: the estimate stays within bounds that every engine keeps to. Not thread-safe.
 */
final class PrefillSpeed {
  /** Estimate before the first sample. */
  private static final double INITIAL_MICROS_PER_TOKEN = 40;

  private static final double MIN_MICROS_PER_TOKEN = 1;
  private static final double MAX_MICROS_PER_TOKEN = 500;

  /**
   * Minimum prefill tokens of a sample; with fewer, other delays dominate the time to first output.
   */
  private static final int MIN_SAMPLE_TOKENS = 1_000;

  /** Weight of a sample below the estimate; it counts more, as slow samples include queueing. */
  private static final double FASTER_SAMPLE_WEIGHT = 0.2;

  /** Weight of a sample at or above the estimate. */
  private static final double SLOWER_SAMPLE_WEIGHT = 0.02;

  private double microsPerToken = INITIAL_MICROS_PER_TOKEN;

  /** Returns the time to prefill a number of tokens, in microseconds. */
  double prefillMicros(int tokens) {
    return tokens * microsPerToken;
  }

  /** Returns how many tokens can have been prefilled in a time, at most {@code maxTokens}. */
  int prefilledTokens(long micros, int maxTokens) {
    return (int) Math.min(maxTokens, micros / microsPerToken);
  }

  /** Records the time from sending a prompt to its first output. */
  void onFirstOutput(int prefillTokens, long micros) {
    if (prefillTokens < MIN_SAMPLE_TOKENS) {
      return;
    }
    double sample =
        Math.min(
            MAX_MICROS_PER_TOKEN, Math.max(MIN_MICROS_PER_TOKEN, (double) micros / prefillTokens));
    double weight = sample < microsPerToken ? FASTER_SAMPLE_WEIGHT : SLOWER_SAMPLE_WEIGHT;
    microsPerToken += weight * (sample - microsPerToken);
  }
}
