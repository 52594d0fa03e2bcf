package org.shallothook.transport.logging;

import org.tinylog.configuration.Configuration;

/**
 * Format in which a process writes its logs to standard output.
 *
 * <p>Invariant: activation takes effect only before the first line is logged. Immutable and
 * thread-safe.
 */
public enum LogFormat {
  /** One line of plain text per entry. */
  TEXT {
    @Override
    void configureWriter() {
      Configuration.set("writer", "console");
      Configuration.set("writer.format", "{date:yyyy-MM-dd'T'HH:mm:ss.SSS} {level} {message}");
    }
  },
  /** One JSON object per line. */
  JSON {
    @Override
    void configureWriter() {
      Configuration.set("writer", "json");
      Configuration.set("writer.format", "LDJSON");
      Configuration.set("writer.file", "/dev/stdout");
      Configuration.set("writer.append", "true");
      Configuration.set("writer.field.time", "{date:yyyy-MM-dd'T'HH:mm:ss.SSS}");
      Configuration.set("writer.field.level", "{level}");
      Configuration.set("writer.field.message", "{message}");
    }
  };

  abstract void configureWriter();

  /**
   * Makes this the format of the process's logs.
   *
   * @param level minimum level of the lines that are logged
   */
  public void activate(LogLevel level) {
    configureWriter();
    Configuration.set("level", level.toString());
    Configuration.set("autoshutdown", "false");
  }
}
