package org.shallothook.transport.decision;

/**
 * Way into the decision thread for events of the input and output threads.
 *
 * <p>Implementations are thread-safe and never block.
 *
 * @param <E> type of the events
 */
public interface EventSink<E> {

  /**
   * Offers an event that opens new work, which may be refused.
   *
   * @return whether the event was taken; otherwise the sender refuses the work
   */
  boolean offer(E event);

  /**
   * Delivers an event of work that is already open. It is never refused, and events that one thread
   * delivers are handled in order.
   */
  void deliver(E event);

  /** Returns whether senders should stop reading from their sockets for a while. */
  boolean isCongested();
}
