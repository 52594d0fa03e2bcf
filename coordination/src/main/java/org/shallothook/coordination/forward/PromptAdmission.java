package org.shallothook.coordination.forward;

import java.util.Optional;

/**
 * Whether a prompt that has just arrived is sent to the best place found.
 *
 * <p>Pattern answered: more prompts than the servers can read. Were all of them sent, queues would
 * grow until nobody's first output came in time. What would wait beyond its target is refused at
 * once, so that the rest is served in time, and its caller is told when to come back.
 *
 * <p>Stateless and thread-safe.
 */
final class PromptAdmission {
  /** Part of the target that a prompt may wait however long its own reading takes. */
  private static final double LEAST_WAIT_PART = 0.5;

  /** Least time after which a caller is asked to come back, in microseconds. */
  private static final double LEAST_RETURN_MICROS = 100_000;

  private PromptAdmission() {}

  /**
   * Returns for how long the caller should stay away, in microseconds; empty if it is served.
   *
   * @param waitMicros expected time before the prompt is read
   * @param readMicros expected time to read it
   * @param targetMicros time by which the first output should come
   */
  static Optional<Long> stayAwayMicros(double waitMicros, double readMicros, long targetMicros) {
    double allowed = Math.max(targetMicros - readMicros, LEAST_WAIT_PART * targetMicros);
    if (waitMicros <= allowed) {
      return Optional.empty();
    }
    return Optional.of((long) Math.max(LEAST_RETURN_MICROS, waitMicros - allowed));
  }
}
