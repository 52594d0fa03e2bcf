package org.shallothook.soak;

/**
 * Result of a request as its caller observed it.
 *
 * <p>Immutable and thread-safe.
 */
enum CallerOutcome {
  /** The caller received the complete response to its own request. */
  SERVED,
  /** The response was a refusal, which guarantees that the request has not run. */
  REFUSED,
  /** The response was a failure; the request may or may not have run. */
  FAILED,
  /** The connection was closed before the response was complete. */
  CUT,
  /** The caller cancelled the request before the response was complete. */
  LEFT,
  /** No complete response arrived before the timeout. */
  UNANSWERED
}
