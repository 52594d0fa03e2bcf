package org.shallothook.coordination.port;

import java.util.Locale;

/**
 * Steps of a request, and background operations, whose durations are measured.
 *
 * <p>Immutable and thread-safe.
 */
public enum LatencyStep {
  /** From the complete receipt of a request to its first attempt at a server. */
  PLACEMENT,
  /** From the complete receipt of a request to the first output of a server. */
  FIRST_OUTPUT,
  /** From the complete receipt of a request to the end of its response. */
  WHOLE_ANSWER,
  /** From the start of an attempt until it has a connection to write its request to. */
  SERVER_CONNECTION,
  /** Delay with which the event loop of caller and server connections runs a scheduled task. */
  LOOP_DELAY,
  /** One turn in which the event loop reads from a single connection and handles what it read. */
  CONNECTION_TURN,
  /** One read from the platform's store, excluding long polls for new records. */
  STORE_READ,
  /** One append to the platform's store. */
  STORE_APPEND;

  /** Returns the name of the metric. */
  public String code() {
    return "latency." + name().toLowerCase(Locale.ROOT).replace('_', '-');
  }
}
