package org.shallothook.coordination.sidecar;

import java.util.EnumSet;
import java.util.Set;

/**
 * Tracks the signals for which an upstream accepts no new work.
 *
 * <p>One signal is enough. A drain request is never withdrawn; the instance list and the engine can
 * each withdraw only their own signal.
 *
 * <p>Not thread-safe: used on the decision thread.
 */
final class LeavingSignals {
  /** Source of a leaving signal. */
  enum Signal {
    /** The sidecar's process was asked to stop. */
    DRAIN,
    /** The platform's instance list marks this instance as leaving. */
    INSTANCE_LIST,
    /** The engine or service reports that it is leaving. */
    ENGINE
  }

  private final Set<Signal> raised = EnumSet.noneOf(Signal.class);

  /**
   * Raises or withdraws a signal.
   *
   * @return whether {@link #isLeaving()} changed
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
