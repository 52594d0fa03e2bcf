package org.shallothook.coordination.port;

import java.util.Locale;

/**
 * Steps on the way of a request, or calls beside it, whose times are measured.
 *
 * <p>Immutable and thread-safe.
 */
public enum LatencyStep {
  /** From a whole request to its first attempt at a server. */
  PLACEMENT,
  /** From a whole request to the beginning of a server's answer. */
  FIRST_OUTPUT,
  /** From a whole request to the end of its answer. */
  WHOLE_ANSWER,
  /** From the beginning of an attempt to the connection that its request is written to. */
  SERVER_CONNECTION,
  /** How late the event loop of callers and servers comes to a task that was due. */
  LOOP_DELAY,
  /** One read of the platform's store that does not wait for records. */
  STORE_READ,
  /** One append to the platform's store. */
  STORE_APPEND;

  /** Returns the name under which metrics show it. */
  public String code() {
    return "latency." + name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
