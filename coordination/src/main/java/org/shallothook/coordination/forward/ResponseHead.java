package org.shallothook.coordination.forward;

import java.util.Optional;

/**
 * Properties of a server's response that decisions depend on.
 *
 * <p>Immutable and thread-safe.
 *
 * @param status HTTP status
 * @param isNotRun whether the server states that it did not run the request
 * @param instance identity that the server states, if it differs from the expected one
 * @param weightVersion version of the weights that generated the response
 * @param isLeaving whether the server states that it is shutting down
 * @param closedMicros time for which the server asks for no further requests, in microseconds
 * @param limit what the server states about the requests that it takes
 */
public record ResponseHead(
    int status,
    boolean isNotRun,
    Optional<String> instance,
    Optional<Long> weightVersion,
    boolean isLeaving,
    Optional<Long> closedMicros,
    LimitStatement limit) {
  private static final int FIRST_SUCCESS = 200;
  private static final int FIRST_REDIRECTION = 300;
  private static final int MISDIRECTED = 421;
  private static final int FIRST_SERVER_ERROR = 500;

  /** Creates the head of a response that states no limit. */
  public ResponseHead(
      int status,
      boolean isNotRun,
      Optional<String> instance,
      Optional<Long> weightVersion,
      boolean isLeaving,
      Optional<Long> closedMicros) {
    this(status, isNotRun, instance, weightVersion, isLeaving, closedMicros, LimitStatement.NONE);
  }

  /** Returns whether the server has another identity or version of the weights than expected. */
  public boolean isMisdirected() {
    return status == MISDIRECTED;
  }

  /** Returns whether the server has run the request with success. */
  boolean isSuccess() {
    return status >= FIRST_SUCCESS && status < FIRST_REDIRECTION;
  }

  /** Returns whether the server failed while running the request. */
  public boolean isServerError() {
    return !isNotRun && status >= FIRST_SERVER_ERROR;
  }
}
