package org.shallothook.protocol.platform;

import io.vavr.control.Either;
import org.shallothook.protocol.json.JsonDocument;
import org.shallothook.protocol.json.JsonError;
import org.shallothook.protocol.json.JsonFields;

/**
 * One event of an engine's output stream.
 *
 * <p>Invariant: the output is complete only after a {@link Finish} that is followed by an {@link
 * End}. Immutable and thread-safe.
 */
public sealed interface EngineStreamEvent {

  /**
   * Generated tokens.
   *
   * @param position number of tokens generated before these
   * @param count number of tokens
   * @param text their text
   */
  record Tokens(int position, int count, String text) implements EngineStreamEvent {}

  /**
   * Reports why generation ended.
   *
   * @param reason {@code stop} or {@code length}
   * @param position total number of generated tokens
   * @param cachedBlocks number of leading prompt blocks that were in the cache
   */
  record Finish(String reason, int position, int cachedBlocks) implements EngineStreamEvent {}

  /** End marker of the stream, {@code [DONE]}. */
  record End() implements EngineStreamEvent {}

  /** Parses the data of one event. */
  static Either<JsonError, EngineStreamEvent> read(String data) {
    if (data.equals("[DONE]")) {
      return Either.right(new End());
    }
    return JsonDocument.read(
        data, fields -> fields.has("finish_reason") ? finish(fields) : tokens(fields));
  }

  private static EngineStreamEvent finish(JsonFields fields) {
    return new Finish(
        fields.string("finish_reason"),
        JsonValues.nonNegativeInteger(fields, "position"),
        JsonValues.nonNegativeInteger(fields, "cached_blocks"));
  }

  private static EngineStreamEvent tokens(JsonFields fields) {
    return new Tokens(
        JsonValues.nonNegativeInteger(fields, "position"),
        JsonValues.nonNegativeInteger(fields, "count"),
        fields.string("text"));
  }
}
