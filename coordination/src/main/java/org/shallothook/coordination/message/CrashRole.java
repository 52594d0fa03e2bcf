package org.shallothook.coordination.message;

/**
 * What an attempt was doing on its engine when the engine was lost. Used to find the request that
 * caused the crash.
 *
 * <p>Immutable and thread-safe.
 */
public enum CrashRole {
  /** No engine was lost while the attempt ran. */
  NONE(false),
  /** The attempt was generating tokens, and other attempts were running. */
  STREAMING(true),
  /** The attempt had not generated a token yet, and other attempts were running. */
  PREFILLING(true),
  /** The attempt was the only one running on the engine. */
  ALONE(true);

  private final boolean isSuspect;

  CrashRole(boolean isSuspect) {
    this.isSuspect = isSuspect;
  }

  /** Returns whether the attempt may have caused the loss. */
  public boolean isSuspect() {
    return isSuspect;
  }
}
