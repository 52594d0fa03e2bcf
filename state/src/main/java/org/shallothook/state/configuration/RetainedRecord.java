package org.shallothook.state.configuration;

import java.util.Optional;
import org.shallothook.state.log.LogRecord;

/**
 * A retained record of the configuration stream that shares the string of its template with the
 * state, so that the template is held in memory once.
 *
 * <p>Invariant: {@link #toLogRecord} returns a record equal to the original. Immutable and
 * thread-safe.
 *
 * @param offset offset of the record
 * @param appendedAtMicros when the record was appended, in microseconds since the epoch
 * @param header part of the payload before the template
 * @param source INI text of the template; empty if it is not shared with the state
 */
record RetainedRecord(long offset, long appendedAtMicros, String header, String source) {

  /**
   * Returns the retained form of a record.
   *
   * @param record the record
   * @param held INI text of the template in the state, if there is one
   */
  static RetainedRecord of(LogRecord record, Optional<String> held) {
    String payload = record.payload();
    String source = held.filter(payload::endsWith).orElse("");
    String header = payload.substring(0, payload.length() - source.length());
    return new RetainedRecord(record.offset(), record.appendedAtMicros(), header, source);
  }

  LogRecord toLogRecord() {
    return new LogRecord(offset, appendedAtMicros, header + source);
  }
}
