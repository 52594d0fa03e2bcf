package org.shallothook.coordination.admission;

/**
 * A background run on the engine, outside admission control, that no caller waits for.
 *
 * <p>Not thread-safe: used on the decision thread.
 */
public interface BackgroundRun {

  /** Returns whether the run occupies a slot of the engine. */
  boolean isRunning();

  /** Cancels the run immediately, to free its slot for a caller's request. */
  void yieldToCallers();
}
