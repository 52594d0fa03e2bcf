package org.shallothook.state.configuration;

import java.util.Optional;
import org.shallothook.state.log.LogRecord;

/** Creates short templates and records for tests. Stateless and thread-safe. */
final class Templates {
  private Templates() {}

  static String source(String team, String key, String version) {
    return "[team]\nname = "
        + team
        + "\nkey-sha256 = "
        + key.repeat(64)
        + "\nmodel = m\nversion = "
        + version
        + "\n";
  }

  static LogRecord change(long offset, String change, long base, String team, String source) {
    ConfigurationRecord record =
        new ConfigurationRecord.Change(change, base, team, Optional.ofNullable(source));
    return new LogRecord(offset, offset, ConfigurationRecordText.write(record));
  }
}
