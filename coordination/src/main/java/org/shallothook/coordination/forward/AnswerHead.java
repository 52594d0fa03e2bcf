package org.shallothook.coordination.forward;

import java.util.Optional;

/**
 * What decisions need to know of a server's answer.
 *
 * <p>Immutable and thread-safe.
 *
 * @param status HTTP status
 * @param isNotRun whether the server says that it did not run the request
 * @param instance identity of the server where it names another than expected
 * @param weightVersion version of the weights that the answer was made with
 * @param isLeaving whether the server says that it is being stopped
 * @param closedMicros time for which the server wants no further requests, in microseconds
 */
public record AnswerHead(
    int status,
    boolean isNotRun,
    Optional<String> instance,
    Optional<Long> weightVersion,
    boolean isLeaving,
    Optional<Long> closedMicros) {
  private static final int MISDIRECTED = 421;
  private static final int FIRST_SERVER_ERROR = 500;

  /** Returns whether the server is not the one, or has not the weights, that was asked for. */
  public boolean isMisdirected() {
    return status == MISDIRECTED;
  }

  /** Returns whether the server failed while it ran the request. */
  public boolean isServerError() {
    return !isNotRun && status >= FIRST_SERVER_ERROR;
  }
}
