package org.shallothook.state.configuration;

/**
 * Class of service of a team, most urgent first.
 *
 * <p>Immutable and thread-safe.
 */
public enum PriorityClass {
  /** Served ahead of ordinary work, from the first request on. */
  PRIORITY,
  /** Served in fair turns among ordinary teams. */
  ORDINARY;

  /** Returns whether work of this class goes ahead of the other's. */
  public boolean isAheadOf(PriorityClass other) {
    return compareTo(other) < 0;
  }
}
