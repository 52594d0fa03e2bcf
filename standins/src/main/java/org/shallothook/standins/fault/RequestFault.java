package org.shallothook.standins.fault;

/** What becomes of one request to a stand-in. Immutable and thread-safe. */
public enum RequestFault {
  /** The request takes effect and is answered. */
  SERVED(true),
  /** The request is refused without effect. */
  REFUSED(false),
  /** The connection is lost before the request takes effect. */
  DROPPED(false),
  /** The request takes effect and the connection is lost before the answer. */
  ANSWER_LOST(true);

  private final boolean takesEffect;

  RequestFault(boolean takesEffect) {
    this.takesEffect = takesEffect;
  }

  /** Returns whether the request takes effect. */
  public boolean takesEffect() {
    return takesEffect;
  }

  /** Returns whether the sender sees its connection lost instead of an answer. */
  public boolean isConnectionLost() {
    return this == DROPPED || this == ANSWER_LOST;
  }
}
