package org.shallothook.transport.logging;

import org.tinylog.Logger;

/**
 * Part of a process that writes logs, with the prefix of its lines.
 *
 * <pre>{@code
 * Part.PEER.info("Connected to {}.", name);
 * }</pre>
 *
 * <p>Invariant: every line of a part starts with the same prefix. Immutable and thread-safe.
 */
public enum LogComponent {
  PROCESS("process: "),
  SETTINGS("settings: "),
  DECISION("decision: "),
  CALLER("caller: "),
  PEER("peer: "),
  PLATFORM("platform: "),
  UPSTREAM("upstream: "),
  ADMIN("admin: "),
  CONFIGURATION("configuration: ");

  private final String prefix;

  LogComponent(String prefix) {
    this.prefix = prefix;
  }

  /** Writes a line at level debug; {@code {}} stands for the next argument. */
  public void debug(String message, Object... arguments) {
    Logger.debug(prefix + message, arguments);
  }

  /** Writes a line at level info; {@code {}} stands for the next argument. */
  public void info(String message, Object... arguments) {
    Logger.info(prefix + message, arguments);
  }

  /** Writes a line at level warning; {@code {}} stands for the next argument. */
  public void warn(String message, Object... arguments) {
    Logger.warn(prefix + message, arguments);
  }

  /** Writes a line at level error with the stack trace of its cause. */
  public void error(Throwable cause, String message, Object... arguments) {
    Logger.error(cause, prefix + message, arguments);
  }
}
