package org.shallothook.coordination.forward;

/**
 * Estimates the time from the start of a prompt's prefill to its first output, at an average server
 * of a service: a fixed part and a part for each prefilled token.
 *
 * <p>The fixed part matters because a server takes up to about 110 ms for any first output. Without
 * it, a prompt of 900 tokens seems to take several times as long as expected, one of 9,000 tokens
 * only a little longer, and servers that get more short prompts than others would seem slow.
 *
 * <p>The two parts are fitted by least squares. Samples count less the longer their prompts are, so
 * that relative errors rather than absolute ones are kept small, and the older they are. A weak
 * prior for the part per token takes effect while all prompts are of similar length.
 *
 * <p>Invariant: both parts stay within fixed bounds. Not thread-safe.
 */
final class FirstOutputModel {
  /** Part per 1,000 tokens before the first sample, in microseconds. */
  private static final double INITIAL_SLOPE_MICROS = 40_000;

  private static final double MIN_SLOPE_MICROS = 1_000;
  private static final double MAX_SLOPE_MICROS = 500_000;

  /** Upper limit of the fixed part, in microseconds. */
  private static final double MAX_FIXED_MICROS = 200_000;

  /** Share of its weight that a sample keeps with each later one. */
  private static final double RETAINED_SHARE = 0.99;

  /** Weight of the prior for the part per token, as a sum of squares of 1,000 tokens. */
  private static final double PRIOR_SQUARES = 0.05;

  /** Samples after which the estimate is used; the first ones correct the initial values. */
  private static final int MIN_SAMPLES = 6;

  private int samples;
  private double weight;
  private double meanTokens;
  private double meanMicros;
  private double squares;
  private double products;
  private double fixedMicros;
  private double slopeMicros = INITIAL_SLOPE_MICROS;

  /** Returns whether enough samples are known to compare others with the estimate. */
  boolean isKnown() {
    return samples >= MIN_SAMPLES;
  }

  /** Returns the expected time from the start of the prefill to the first output. */
  double expectedMicros(int prefillTokens) {
    return fixedMicros + slopeMicros * prefillTokens / 1_000;
  }

  /** Records the time from the start of a prompt's prefill to its first output. */
  void onFirstOutput(int prefillTokens, double micros) {
    double tokens = prefillTokens / 1_000.0;
    double sampleWeight = 1 / ((1 + tokens) * (1 + tokens));
    samples = Math.min(MIN_SAMPLES, samples + 1);
    weight = RETAINED_SHARE * weight + sampleWeight;
    double tokensOff = tokens - meanTokens;
    double microsOff = micros - meanMicros;
    double share = sampleWeight / weight;
    meanTokens += share * tokensOff;
    meanMicros += share * microsOff;
    squares = RETAINED_SHARE * squares + sampleWeight * (1 - share) * tokensOff * tokensOff;
    products = RETAINED_SHARE * products + sampleWeight * (1 - share) * tokensOff * microsOff;
    fit();
  }

  private void fit() {
    double slope = (products + PRIOR_SQUARES * INITIAL_SLOPE_MICROS) / (squares + PRIOR_SQUARES);
    double fixed = meanMicros - clamp(slope, MIN_SLOPE_MICROS, MAX_SLOPE_MICROS) * meanTokens;
    fixedMicros = clamp(fixed, 0, MAX_FIXED_MICROS);
    // Where the fixed part is at a bound, the part per token makes up for it on average.
    slopeMicros =
        clamp(
            (meanMicros - fixedMicros) / Math.max(meanTokens, 0.001),
            MIN_SLOPE_MICROS,
            MAX_SLOPE_MICROS);
  }

  private static double clamp(double value, double min, double max) {
    return Math.max(min, Math.min(max, value));
  }
}
