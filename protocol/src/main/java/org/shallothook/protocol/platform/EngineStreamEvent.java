package org.shallothook.protocol.platform;

import io.vavr.control.Either;
import org.shallothook.protocol.json.JsonDocument;
import org.shallothook.protocol.json.JsonError;
import org.shallothook.protocol.json.JsonFields;

/**
 * One event of an engine's answer stream.
 *
 * <p>Invariant: an answer is complete only after {@link Finish} and then {@link End}. Immutable and
 * thread-safe.
 */
public sealed interface EngineStreamEvent {

  /**
   * Tokens of the answer.
   *
   * @param position number of tokens before these
   * @param count number of tokens
   * @param text their text
   */
  record Tokens(int position, int count, String text) implements EngineStreamEvent {}

  /**
   * The engine says why the answer ended.
   *
   * @param reason {@code stop} or {@code length}
   * @param position number of tokens in the whole answer
   * @param cachedBlocks leading blocks taken from the cache
   */
  record Finish(String reason, int position, int cachedBlocks) implements EngineStreamEvent {}

  /** The end marker. */
  record End() implements EngineStreamEvent {}

  /** Reads the data of one event. */
  static Either<JsonError, EngineStreamEvent> read(String data) {
    if (data.equals("[DONE]")) {
      return Either.right(new End());
    }
    return JsonDocument.read(
        data, fields -> fields.has("finish_reason") ? finish(fields) : tokens(fields));
  }

  private static EngineStreamEvent finish(JsonFields fields) {
    return new Finish(
        fields.text("finish_reason"),
        Values.notNegativeInteger(fields, "position"),
        Values.notNegativeInteger(fields, "cached_blocks"));
  }

  private static EngineStreamEvent tokens(JsonFields fields) {
    return new Tokens(
        Values.notNegativeInteger(fields, "position"),
        Values.notNegativeInteger(fields, "count"),
        fields.text("text"));
  }
}
