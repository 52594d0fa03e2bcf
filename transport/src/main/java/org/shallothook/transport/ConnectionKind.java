package org.shallothook.transport;

import java.util.Locale;

/**
 * Whom a connection is to.
 *
 * <p>Immutable and thread-safe.
 */
public enum ConnectionKind {
  CALLER,
  SERVER,
  /** The platform's store, and requests to servers other than those of callers. */
  PLATFORM,
  PEER,
  ADMIN;

  /** Returns the form used in log lines. */
  public String code() {
    return name().toLowerCase(Locale.ROOT);
  }
}
