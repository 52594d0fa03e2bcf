package org.shallothook.transport.forward;

import java.util.Locale;

/**
 * Kinds of responses that are not taken as the response to the request that a connection carries.
 *
 * <p>Immutable and thread-safe.
 */
enum UnexpectedResponse {
  /** The response names another request than the one that waits for a response. */
  OTHER_REQUEST,
  /** The response names no request, and may belong to an earlier one. */
  NO_IDENTIFIER,
  /** No request waits for a response. */
  NOT_REQUESTED;

  /** Returns the form used in log lines and in names of counters. */
  String code() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
