package org.shallothook.transport.logging;

import org.tinylog.Logger;

/**
 * Component of a process that writes log lines, with the prefix of its lines.
 *
 * <pre>{@code
 * LogComponent.PEER.info("Connected to {}.", name);
 * }</pre>
 *
 * <p>Invariant: every line of a component starts with the same prefix. Immutable and thread-safe.
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

  /** Logs a line at level debug; each {@code {}} is replaced by the next argument. */
  public void debug(String message, Object... arguments) {
    Logger.debug(prefix + message, arguments);
  }

  /** Logs a line at level info; each {@code {}} is replaced by the next argument. */
  public void info(String message, Object... arguments) {
    Logger.info(prefix + message, arguments);
  }

  /** Logs a line at level warning; each {@code {}} is replaced by the next argument. */
  public void warn(String message, Object... arguments) {
    Logger.warn(prefix + message, arguments);
  }

  /** Logs a line at level error with the stack trace of its cause. */
  public void error(Throwable cause, String message, Object... arguments) {
    Logger.error(cause, prefix + message, arguments);
  }
}
