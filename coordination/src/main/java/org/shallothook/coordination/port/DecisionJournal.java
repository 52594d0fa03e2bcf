package org.shallothook.coordination.port;

/**
 * Takes a line for each decision on a request or belief.
 *
 * <p>Implementations are thread-safe and never block.
 */
@FunctionalInterface
public interface DecisionJournal {
  /** Writes nothing. */
  DecisionJournal NONE = (decision, subject, fields) -> {};

  /**
   * Writes a line.
   *
   * @param decision what was decided
   * @param subject identity of the request or of what the belief is about
   * @param fields names and values by turns: the inputs, their age or version, and the outcome
   */
  void write(Decision decision, String subject, Object... fields);
}
