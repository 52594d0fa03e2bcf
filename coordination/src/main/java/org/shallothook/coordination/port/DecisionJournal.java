package org.shallothook.coordination.port;

import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Structured log with one line for each decision about a request or about the known state of a
 * server or dependency.
 *
 * <p>Implementations are thread-safe and never block.
 */
@FunctionalInterface
public interface DecisionJournal {
  /** Discards every line. */
  DecisionJournal NONE = (decision, subject, fields) -> {};

  /** Value of a field that holds an age which is not known. */
  long UNKNOWN_AGE = -1;

  /**
   * Writes a line.
   *
   * @param decision what was decided
   * @param subject identifier of the request, server or dependency that the decision is about
   * @param fields alternating names and values: the inputs, their age or version, and the outcome
   */
  void write(Decision decision, String subject, Object... fields);

  /** Returns an age for a field, in milliseconds; {@link #UNKNOWN_AGE} if there is no start. */
  static long ageMillis(Optional<Long> sinceMicros, long nowMicros) {
    return sinceMicros
        .map(micros -> TimeUnit.MICROSECONDS.toMillis(nowMicros - micros))
        .orElse(UNKNOWN_AGE);
  }
}
