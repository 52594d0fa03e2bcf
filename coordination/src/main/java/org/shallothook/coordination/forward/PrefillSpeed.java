package org.shallothook.coordination.forward;

/**
 * How fast the servers of a service read prompts, learnt from the time to their first output.
 *
 * <p>Invariant: the estimate stays within bounds that no engine leaves. Not thread-safe.
 */
final class PrefillSpeed {
  /** Estimate before anything was measured, in microseconds a token. */
  private static final double FIRST_GUESS = 40;

  private static final double LEAST = 1;
  private static final double MOST = 500;

  /** Tokens below which the time to the first output says little of the speed. */
  private static final int LEAST_TOKENS = 1_000;

  /** Weights of a sample: quick ones count more, since slow ones have waited in a queue. */
  private static final double WEIGHT_OF_QUICK = 0.2;

  private static final double WEIGHT_OF_SLOW = 0.02;

  private double microsPerToken = FIRST_GUESS;

  /** Returns the time to read some tokens, in microseconds. */
  double readMicros(int tokens) {
    return tokens * microsPerToken;
  }

  /** Returns how many of some tokens can have been read in a time. */
  int tokensReadIn(long micros, int atMost) {
    return (int) Math.min(atMost, micros / microsPerToken);
  }

  /** Takes in the time from sending a prompt until its first output. */
  void onFirstOutput(int unreadTokens, long micros) {
    if (unreadTokens < LEAST_TOKENS) {
      return;
    }
    double sample = Math.min(MOST, Math.max(LEAST, (double) micros / unreadTokens));
    double weight = sample < microsPerToken ? WEIGHT_OF_QUICK : WEIGHT_OF_SLOW;
    microsPerToken += weight * (sample - microsPerToken);
  }
}
