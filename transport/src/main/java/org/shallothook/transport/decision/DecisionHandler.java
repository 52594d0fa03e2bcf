package org.shallothook.transport.decision;

/**
 * Handles the events of a decision thread one at a time.
 *
 * <p>Called on the decision thread only.
 *
 * @param <E> type of the events
 */
@FunctionalInterface
public interface DecisionHandler<E> {

  /**
   * Handles one event.
   *
   * @param event event to handle
   * @param nowMicros current time in microseconds since the epoch; never decreases
   */
  void handle(E event, long nowMicros);
}
