package org.shallothook.coordination.weights;

/**
 * Result of a load order.
 *
 * <p>Immutable and thread-safe.
 */
public enum VersionOrderResult {
  /** The server has accepted the order and loads the version. */
  ACCEPTED,
  /** The server already has the version. */
  ALREADY_HOLDS,
  /** The server is carrying out another order, or has accepted one since its report. */
  BUSY_OR_CHANGED,
  /** The server has seen an order with a higher fencing token. */
  FENCED,
  /** A different server has the address. */
  OTHER_SERVER,
  /** The server has rejected the order for another reason. */
  REJECTED,
  /** The order was not sent. */
  NOT_SENT,
  /** It is unknown whether the order was accepted; it may still arrive. */
  UNKNOWN
}
