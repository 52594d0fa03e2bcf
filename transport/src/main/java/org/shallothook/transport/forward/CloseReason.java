package org.shallothook.transport.forward;

import java.util.Locale;

/**
 * Reasons for which the connection of a caller is closed.
 *
 * <p>Immutable and thread-safe.
 */
enum CloseReason {
  /** The caller has closed the connection, or it was lost. */
  CALLER_LEFT,
  /** No request was open, and the process is draining or the idle timeout has passed. */
  IDLE,
  /** The response that was sent is the last one on the connection. */
  LAST_RESPONSE,
  /** A request could not be read, or kept, and was refused; what follows it is not read. */
  UNREADABLE_REQUEST,
  /** The response cannot be completed. */
  BROKEN_OFF,
  /** The responses of all callers together hold too much memory. */
  MEMORY,
  /** Reading, writing or handling a message failed. */
  FAILED,
  /** The process has ended its drain. */
  PROCESS_STOPPED;

  /** Returns the form used in log lines and in names of counters. */
  String code() {
    return name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
