package org.shallothook.coordination.port;

import java.util.concurrent.TimeUnit;
import org.shallothook.state.log.WrittenTime;
import org.shallothook.state.route.WeightVersion;

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

  /** Writes the line on a desired version of weights that the process has learned of. */
  default void writeDesiredVersion(WeightVersion version, WrittenTime written, long nowMicros) {
    write(
        Decision.WEIGHTS,
        version.model(),
        "version",
        version.version(),
        "maximum_age_ms",
        written
            .afterMicros()
            .map(micros -> TimeUnit.MICROSECONDS.toMillis(nowMicros - micros))
            .orElse(UNKNOWN_AGE));
  }
}
