package org.shallothook.state.route;

/**
 * What may be done with the requests of a route.
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
  /** Runs at most once for each attempt of its caller. */
  UNSAFE {
    @Override
    boolean isRepeatable(boolean isResumable) {
      return false;
    }
  },
  /** Answered by a stream of events; runs once unless the stream may be resumed. */
  STREAMING {
    @Override
    boolean isRepeatable(boolean isResumable) {
      return isResumable;
    }
  };

  abstract boolean isRepeatable(boolean isResumable);
}
