package org.shallothook.transport.decision;

/**
 * Passes events from the I/O threads to the decision thread.
 *
 * <p>Implementations are thread-safe and never block.
 *
 * @param <E> type of the events
 */
public interface EventSink<E> {

  /**
   * Offers an event that starts new work, which may be refused.
   *
   * @return whether the event was accepted; if not, the sender refuses the work
   */
  boolean offer(E event);

  /**
   * Delivers an event of work in progress. It is never refused, and events delivered by one thread
   * are handled in order.
   */
  void deliver(E event);

  /** Returns whether senders should currently stop reading from their sockets. */
  boolean isCongested();
}
