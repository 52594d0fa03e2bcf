package org.shallothook.soak;

/**
 * How a request ended for its caller.
 *
 * <p>Immutable and thread-safe.
 */
enum Outcome {
  /** The whole own answer of a server. */
  SERVED,
  /** A refusal that says that the request has not run. */
  REFUSED,
  /** A failure that promises nothing. */
  FAILED,
  /** The connection ended before the answer was whole. */
  CUT,
  /** The caller left before the answer was whole. */
  LEFT,
  /** No final answer came in time. */
  UNANSWERED
}
