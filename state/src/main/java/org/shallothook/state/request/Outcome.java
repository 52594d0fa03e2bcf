package org.shallothook.state.request;

import java.util.Locale;

/**
 * What is known about the execution of a request over all its attempts.
 *
 * <p>Invariant: {@link #NOT_RUN} is reported only if no attempt can have reached an upstream.
 * Immutable and thread-safe.
 */
public enum Outcome {
  /** No upstream has run any part of the request; sending it again is safe. */
  NOT_RUN,
  /** An upstream may have run the request. */
  UNKNOWN,
  /** An upstream has run the request, and its complete response is known. */
  DONE;

  /** Returns the value used in the {@code shallothook-outcome} header. */
  public String headerValue() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
