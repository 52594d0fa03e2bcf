package org.shallothook.state.log;

import java.util.List;

/**
 * A consecutive range of records read from one stream.
 *
 * <p>Invariant: records are in order of offset. Immutable and thread-safe.
 *
 * @param stream name of the stream
 * @param firstRetained lowest offset that the log still retains
 * @param end offset that the next appended record will get
 * @param records records read; may be empty
 */
public record LogPage(String stream, long firstRetained, long end, List<LogRecord> records) {
  public LogPage {
    records = List.copyOf(records);
  }

  /** Returns the offset to read from next. */
  public long nextOffset() {
    return records.isEmpty() ? end : records.get(records.size() - 1).offset() + 1;
  }
}
