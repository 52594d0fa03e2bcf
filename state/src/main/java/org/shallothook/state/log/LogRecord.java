package org.shallothook.state.log;

import java.util.Objects;

/**
 * One record of a stream of the platform's log.
 *
 * <p>Invariant: offsets increase within a stream, and the offset of a record never changes.
 * Immutable and thread-safe.
 *
 * @param offset position in its stream, from 0
 * @param appendedAtMicros when the log appended the record, in microseconds since the epoch
 * @param payload text of the record
 */
public record LogRecord(long offset, long appendedAtMicros, String payload) {
  public LogRecord {
    Objects.requireNonNull(payload, "payload");
    if (offset < 0) {
      throw new IllegalArgumentException("offset must not be negative, found " + offset);
    }
  }
}
