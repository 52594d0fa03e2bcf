package org.shallothook.state.route;

/**
 * Whether the requests of a route may be repeated, and how they are answered.
 *
 * <p>Immutable and thread-safe.
 */
public enum CallKind {
  /** May run more than once. */
  SAFE {
    @Override
    boolean isRepeatable(boolean isResumable) {
      return true;
    }
  },
  /** Runs at most once each time that its caller sends it. */
  UNSAFE {
    @Override
    boolean isRepeatable(boolean isResumable) {
      return false;
    }
  },
  /** Answered by a stream of events; runs once, unless the route allows resuming it. */
  STREAMING {
    @Override
    boolean isRepeatable(boolean isResumable) {
      return isResumable;
    }
  };

  abstract boolean isRepeatable(boolean isResumable);
}
