package org.shallothook.state.configuration;

import java.util.Optional;
import org.shallothook.state.log.LogRecord;

/**
 * A kept record of the configuration stream, whose template is the very text that the state holds.
 *
 * <p>Invariant: {@link #toLogRecord} gives the record that was kept, to the character. Immutable
 * and thread-safe.
 *
 * @param offset offset of the record
 * @param appendedAtMicros when it was appended, in microseconds since the epoch
 * @param head payload before the template
 * @param source template; empty where none is shared
 */
record RetainedRecord(long offset, long appendedAtMicros, String head, String source) {

  /**
   * Keeps a record.
   *
   * @param record the record
   * @param held template that the state holds, if there is one
   */
  static RetainedRecord of(LogRecord record, Optional<String> held) {
    String payload = record.payload();
    String source = held.filter(payload::endsWith).orElse("");
    String head = payload.substring(0, payload.length() - source.length());
    return new RetainedRecord(record.offset(), record.appendedAtMicros(), head, source);
  }

  LogRecord toLogRecord() {
    return new LogRecord(offset, appendedAtMicros, head + source);
  }
}
