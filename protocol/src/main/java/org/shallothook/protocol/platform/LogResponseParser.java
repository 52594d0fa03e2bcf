package org.shallothook.protocol.platform;

import io.vavr.control.Either;
import java.util.List;
import org.shallothook.protocol.json.JsonDocument;
import org.shallothook.protocol.json.JsonError;
import org.shallothook.protocol.json.JsonFields;
import org.shallothook.state.log.LogPage;
import org.shallothook.state.log.LogRecord;

/**
 * Parses the responses of the platform's log.
 *
 * <p>Invariant: the records of a parsed page have increasing offsets. Stateless and thread-safe.
 */
public final class LogResponseParser {
  private LogResponseParser() {}

  /** Parses the response to a read of a stream. */
  public static Either<JsonError, LogPage> page(String body) {
    return JsonDocument.read(body, LogResponseParser::page);
  }

  /** Parses the response to an append and returns the offset of the record. */
  public static Either<JsonError, Long> appendedOffset(String body) {
    return JsonDocument.read(body, fields -> JsonValues.nonNegativeLong(fields, "offset"));
  }

  private static LogPage page(JsonFields fields) {
    List<LogRecord> records = fields.objects("records", LogResponseParser::record);
    for (int index = 1; index < records.size(); index++) {
      if (records.get(index).offset() <= records.get(index - 1).offset()) {
        throw fields.reject("records", "in order of offset");
      }
    }
    return new LogPage(
        fields.string("stream"),
        JsonValues.nonNegativeLong(fields, "first"),
        JsonValues.nonNegativeLong(fields, "end"),
        records);
  }

  private static LogRecord record(JsonFields fields) {
    return new LogRecord(
        JsonValues.nonNegativeLong(fields, "offset"),
        fields.longField("appended_at_micros"),
        fields.string("payload"));
  }
}
