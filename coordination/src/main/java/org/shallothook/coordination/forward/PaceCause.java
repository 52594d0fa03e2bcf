package org.shallothook.coordination.forward;

import java.util.Locale;

/**
 * Reason why a server's concurrency is limited by a {@link ServerPace}.
 *
 * <p>Immutable and thread-safe.
 */
enum PaceCause {
  /** The registry lists another incarnation of the server. */
  RESTARTED(false),
  /** The status of the server was not ready, and is ready again; it has loaded new weights. */
  READY(false),
  /** The server had not responded to any request for some time. */
  SILENT(true),
  /** Several requests in a row have failed. */
  FAILED(true),
  /** Another router has announced it. */
  ANNOUNCED(false);

  private final boolean isFailure;

  PaceCause(boolean isFailure) {
    this.isFailure = isFailure;
  }

  /**
   * Returns whether only this router may have noticed the cause. It is then announced as a late
   * response, so that the other routers adopt the window.
   */
  boolean isFailure() {
    return isFailure;
  }

  /** Returns the name used in log lines. */
  String code() {
    return name().toLowerCase(Locale.ROOT);
  }
}
