package org.shallothook.protocol.platform;

import io.vavr.control.Either;
import java.util.List;
import org.shallothook.protocol.json.JsonDocument;
import org.shallothook.protocol.json.JsonError;
import org.shallothook.protocol.json.JsonFields;
import org.shallothook.state.log.LogPage;
import org.shallothook.state.log.LogRecord;

/**
 * Reads the answers of the platform's log.
 *
 * <p>Invariant: a page read has records in order of offset. Stateless and thread-safe.
 */
public final class LogForm {
  private LogForm() {}

  /** Reads the answer to a read of a stream. */
  public static Either<JsonError, LogPage> page(String body) {
    return JsonDocument.read(body, LogForm::page);
  }

  /** Reads the answer to an append and returns the offset of the record. */
  public static Either<JsonError, Long> appendedOffset(String body) {
    return JsonDocument.read(body, fields -> Values.notNegative(fields, "offset"));
  }

  private static LogPage page(JsonFields fields) {
    List<LogRecord> records = fields.objects("records", LogForm::record);
    for (int index = 1; index < records.size(); index++) {
      if (records.get(index).offset() <= records.get(index - 1).offset()) {
        throw fields.reject("records", "in order of offset");
      }
    }
    return new LogPage(
        fields.text("stream"),
        Values.notNegative(fields, "first"),
        Values.notNegative(fields, "end"),
        records);
  }

  private static LogRecord record(JsonFields fields) {
    return new LogRecord(
        Values.notNegative(fields, "offset"),
        fields.longField("appended_at_micros"),
        fields.text("payload"));
  }
}
