package org.shallothook.standins.engine;

/** Result of a request to start generating an answer. Immutable and thread-safe. */
public enum StartResult {
  STARTED(200),
  /** The required model version is not loaded. */
  WRONG_VERSION(409),
  /** The engine has reached its maximum number of streams. */
  FULL(503),
  /** The engine has crashed and not yet restarted. */
  UNREACHABLE(503);

  private final int status;

  StartResult(int status) {
    this.status = status;
  }

  /** Returns the HTTP status code of the response. */
  public int status() {
    return status;
  }
}
