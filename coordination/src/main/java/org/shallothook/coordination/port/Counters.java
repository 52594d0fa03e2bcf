package org.shallothook.coordination.port;

/**
 * Counts what happened, by name.
 *
 * <p>Names are lower-case words joined by hyphens, with dots between the parts, such as {@code
 * refusals.queue-full}. Not thread-safe: used on the decision thread.
 */
public interface Counters {
  /** Counters that keep nothing. */
  Counters NONE = name -> {};

  /** Adds one to the counter of that name. */
  void increment(String name);

  /**
   * Adds a number to the counter of that name.
   *
   * @param name name of the counter
   * @param amount number to add, not negative
   */
  default void add(String name, long amount) {
    for (long added = 0; added < amount; added++) {
      increment(name);
    }
  }
}
