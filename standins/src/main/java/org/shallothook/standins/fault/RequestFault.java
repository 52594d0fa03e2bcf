package org.shallothook.standins.fault;

/** Outcome of a request to a stand-in under the injected faults. Immutable and thread-safe. */
public enum RequestFault {
  /** The request is applied and its response is sent. */
  SERVED(true),
  /** The request is refused and not applied. */
  REFUSED(false),
  /** The connection is closed before the request is applied. */
  DROPPED(false),
  /** The request is applied, and the connection is closed before the response is sent. */
  ANSWER_LOST(true);

  private final boolean takesEffect;

  RequestFault(boolean takesEffect) {
    this.takesEffect = takesEffect;
  }

  /** Returns whether the request is applied. */
  public boolean takesEffect() {
    return takesEffect;
  }

  /** Returns whether the client's connection is closed without a response. */
  public boolean isConnectionLost() {
    return this == DROPPED || this == ANSWER_LOST;
  }
}
