package org.shallothook.state.configuration;

/**
 * Priority class of a team's requests, in order of precedence.
 *
 * <p>Immutable and thread-safe.
 */
public enum PriorityClass {
  /** Served before ordinary work, from the first request on. */
  PRIORITY,
  /** Served by fair sharing among the ordinary teams. */
  ORDINARY;

  /** Returns whether work of this class is served before work of another class. */
  public boolean isAheadOf(PriorityClass other) {
    return compareTo(other) < 0;
  }
}
