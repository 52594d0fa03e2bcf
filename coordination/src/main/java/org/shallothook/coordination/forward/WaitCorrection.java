package org.shallothook.coordination.forward;

import java.util.HashMap;
import java.util.Map;

/**
 * Corrects the expected waits of prompts by the waits that were measured.
 *
 * <p>Handles servers whose slots or memory are full: sidecars count queued prompts, and a prompt
 * that waits for the end of streams waits for longer than for the prefills before it. Without a
 * correction, prompts are accepted until the queues are many times longer than they seem, and all
 * of them are late.
 *
 * <p>Invariant: a correction stays within 1 and {@link #MAX_CORRECTION}, and returns to 1 without
 * samples. Not thread-safe.
 */
final class WaitCorrection {
  /** Upper limit of the factor, so that a few extreme waits do not keep prompts off all servers. */
  private static final double MAX_CORRECTION = 8;

  /** Time in which the weight of a sample falls to 1/e, in microseconds. */
  private static final double DECAY_MICROS = 1_500_000;

  /**
   * Wait that each sample counts as expected in addition, in microseconds; short waits are measured
   * with the fixed delay of a first output.
   */
  private static final double ADDED_MICROS = 120_000;

  /** Number of samples of {@link #ADDED_MICROS} that are assumed to agree with the expectation. */
  private static final double PRIOR_WEIGHT = 3;

  private final Map<String, Sums[]> sumsByService = new HashMap<>();

  /** Decayed sums of measured and expected waits. */
  private static final class Sums {
    private double measured;
    private double expected;
    private long atMicros;

    void decay(long nowMicros) {
      if (measured == 0 && expected == 0) {
        atMicros = nowMicros;
        return;
      }
      double share = Math.exp((atMicros - nowMicros) / DECAY_MICROS);
      measured *= share;
      expected *= share;
      atMicros = nowMicros;
    }
  }

  /**
   * Records the wait of a prompt whose first output has arrived.
   *
   * @param expectedMicros expected wait without a correction, in microseconds
   * @param measuredMicros time to the first output without the prefill, in microseconds
   */
  void onFirstOutput(
      String service, int priority, double expectedMicros, double measuredMicros, long nowMicros) {
    Sums sums = sums(service, priority);
    sums.decay(nowMicros);
    sums.measured += Math.max(0, measuredMicros);
    sums.expected += expectedMicros + ADDED_MICROS;
  }

  /** Returns the factor by which to multiply the expected wait of a prompt of a priority. */
  double factor(String service, int priority, long nowMicros) {
    Sums sums = sums(service, priority);
    sums.decay(nowMicros);
    double prior = PRIOR_WEIGHT * ADDED_MICROS;
    double ratio = (sums.measured + prior) / (sums.expected + prior);
    return Math.max(1, Math.min(MAX_CORRECTION, ratio));
  }

  private Sums sums(String service, int priority) {
    Sums[] all =
        sumsByService.computeIfAbsent(
            service, name -> new Sums[PendingRequest.LOWEST_PRIORITY + 1]);
    if (all[priority] == null) {
      all[priority] = new Sums();
    }
    return all[priority];
  }
}
