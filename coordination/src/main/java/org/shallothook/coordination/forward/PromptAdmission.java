package org.shallothook.coordination.forward;

import java.util.Optional;

/**
 * Decides whether a newly arrived prompt is sent to the best placement found, or refused.
 *
 * <p>Handles more prompts than the servers can prefill: if all of them were sent, queues would grow
 * until every first output missed its target. A prompt that would wait beyond its target is refused
 * immediately with a time to retry, so that the others are served in time.
 *
 * <p>Stateless and thread-safe.
 */
final class PromptAdmission {
  /** Share of the target that a prompt may always wait, however long its own prefill takes. */
  private static final double MIN_WAIT_SHARE = 0.5;

  /**
   * Maximum wait as a multiple of the target for gaps in the stream: prompts that queue for longer
   * also interrupt the streams of those before them.
   */
  private static final double MAX_WAIT_GAPS = 2.5;

  /** Minimum time after which a refused caller is told to retry, in microseconds. */
  private static final double MIN_RETRY_DELAY_MICROS = 100_000;

  private PromptAdmission() {}

  /**
   * Returns the time after which the caller should retry, in microseconds; empty if the prompt is
   * admitted.
   *
   * @param waitMicros expected time until the prefill starts
   * @param prefillMicros expected duration of the prefill
   * @param targets what the caller expects
   */
  static Optional<Long> retryDelayMicros(
      double waitMicros, double prefillMicros, PromptTargets targets) {
    double targetMicros = targets.firstOutputMicros();
    double withinTarget = Math.max(targetMicros - prefillMicros, MIN_WAIT_SHARE * targetMicros);
    double allowed = Math.min(withinTarget, MAX_WAIT_GAPS * targets.gapMicros());
    if (waitMicros <= allowed) {
      return Optional.empty();
    }
    return Optional.of((long) Math.max(MIN_RETRY_DELAY_MICROS, waitMicros - allowed));
  }
}
