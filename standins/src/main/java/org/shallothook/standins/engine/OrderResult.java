package org.shallothook.standins.engine;

/** Answer of an engine to an order. Immutable and thread-safe. */
public enum OrderResult {
  TAKEN(202),
  /** Taken, and the host has to fetch the weights. */
  FETCH_WEIGHTS(202),
  OLD_FENCING(409),
  BUSY(429);

  private final int status;

  OrderResult(int status) {
    this.status = status;
  }

  /** Returns the HTTP status. */
  public int status() {
    return status;
  }
}
