package org.shallothook.transport.logging;

import java.util.Locale;

/** Minimum level of the lines that a process logs. Immutable and thread-safe. */
public enum LogLevel {
  DEBUG,
  INFO,
  WARN,
  ERROR;

  @Override
  public String toString() {
    return name().toLowerCase(Locale.ROOT);
  }
}
