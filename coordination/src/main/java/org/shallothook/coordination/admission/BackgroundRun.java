package org.shallothook.coordination.admission;

/**
 * A run on the engine that no caller waits for, beside those of admission.
 *
 * <p>Not thread-safe: used on the decision thread.
 */
public interface BackgroundRun {

  /** Returns whether it occupies a slot of the engine. */
  boolean isRunning();

  /** Takes it back from the engine at once. */
  void yieldToCallers();
}
