package org.shallothook.state.request;

import java.util.Objects;

/**
 * Identifier of one attempt to run a request at one upstream.
 *
 * <p>Invariant: attempts of a request are numbered from 1, and no number is reused. Immutable and
 * thread-safe.
 *
 * @param request request that the attempt belongs to
 * @param number number of the attempt within the request
 */
public record AttemptId(RequestId request, int number) {
  public AttemptId {
    Objects.requireNonNull(request, "request");
    if (number < 1) {
      throw new IllegalArgumentException("Attempts are numbered from 1, found " + number);
    }
  }

  @Override
  public String toString() {
    return request + "/" + number;
  }
}
