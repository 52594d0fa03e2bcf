package org.shallothook.coordination.port;

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

  /**
   * Writes a line.
   *
   * @param decision what was decided
   * @param subject identifier of the request, server or dependency that the decision is about
   * @param fields alternating names and values: the inputs, their age or version, and the outcome
   */
  void write(Decision decision, String subject, Object... fields);
}
