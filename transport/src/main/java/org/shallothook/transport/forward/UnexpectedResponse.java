package org.shallothook.transport.forward;

import java.util.Locale;

/**
 * Kinds of responses that are not taken as the response to the request that a connection carries.
 *
 * <p>Immutable and thread-safe.
 */
enum UnexpectedResponse {
  /** The response names an earlier request of the connection. */
  OTHER_REQUEST,
  /** The response names a request that the connection has not carried. */
  UNKNOWN_REQUEST,
  /** The response names no request or several, and may belong to any that was carried. */
  NO_IDENTIFIER,
  /** No request waits for a response. */
  NOT_REQUESTED;

  /** Returns the form used in log lines and in names of counters. */
  String code() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
