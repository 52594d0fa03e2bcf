package org.shallothook.standins.engine;

/** Answer of an engine to a request for an answer. Immutable and thread-safe. */
public enum StartResult {
  STARTED(200),
  WRONG_VERSION(409),
  FULL(503),
  UNREACHABLE(503);

  private final int status;

  StartResult(int status) {
    this.status = status;
  }

  /** Returns the HTTP status. */
  public int status() {
    return status;
  }
}
