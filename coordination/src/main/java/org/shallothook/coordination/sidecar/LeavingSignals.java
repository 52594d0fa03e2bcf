package org.shallothook.coordination.sidecar;

import java.util.EnumSet;
import java.util.Set;

/**
 * Reasons for which an upstream takes no new work.
 *
 * <p>Any one is enough. A request to drain is never taken back; the list of instances and the
 * engine may take back only what they said themselves.
 *
 * <p>Not thread-safe: used on the decision thread.
 */
final class LeavingSignals {
  /** Who says that the upstream is leaving. */
  enum Signal {
    /** The sidecar's process was asked to stop. */
    DRAIN,
    /** The platform's list of instances says so. */
    INSTANCE_LIST,
    /** The engine or service says so. */
    ENGINE
  }

  private final Set<Signal> raised = EnumSet.noneOf(Signal.class);

  /**
   * Raises or takes back a signal.
   *
   * @return whether the upstream has begun or ceased to leave
   */
  boolean set(Signal signal, boolean isRaised) {
    boolean before = isLeaving();
    if (isRaised) {
      raised.add(signal);
    } else if (signal != Signal.DRAIN) {
      raised.remove(signal);
    }
    return before != isLeaving();
  }

  boolean isLeaving() {
    return !raised.isEmpty();
  }

  boolean isDraining() {
    return raised.contains(Signal.DRAIN);
  }
}
