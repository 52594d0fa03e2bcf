package org.shallothook.standins.engine;

/** Result of an order to an engine. Immutable and thread-safe. */
public enum OrderResult {
  /** The order is carried out, or its version is already loaded or being loaded. */
  TAKEN(202),
  /** The order is accepted, and the caller must fetch the weights. */
  FETCH_WEIGHTS(202),
  /** The fencing token is older than one received earlier. */
  OLD_FENCING(409),
  /** Another version is being loaded. */
  BUSY(429);

  private final int status;

  OrderResult(int status) {
    this.status = status;
  }

  /** Returns the HTTP status code of the response. */
  public int status() {
    return status;
  }
}
