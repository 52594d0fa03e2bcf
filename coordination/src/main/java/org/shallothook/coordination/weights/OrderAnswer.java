package org.shallothook.coordination.weights;

/**
 * How a server has answered an order.
 *
 * <p>Immutable and thread-safe.
 */
public enum OrderAnswer {
  /** The order is being carried out. */
  ACCEPTED,
  /** The server has the version already. */
  ALREADY_HOLDS,
  /** Another order is under way or has been accepted since the report. */
  BUSY_OR_CHANGED,
  /** A later holder has given an order. */
  FENCED,
  /** Another server has the address. */
  OTHER_SERVER,
  /** The server does not take such an order. */
  REJECTED,
  /** Nothing was sent. */
  NOT_SENT,
  /** The order may have been accepted, or may be later. */
  UNKNOWN
}
