package org.shallothook.protocol.json;

import com.google.gson.Gson;
import com.google.gson.JsonElement;
import com.google.gson.JsonParseException;
import com.google.gson.Strictness;
import com.google.gson.TypeAdapter;
import com.google.gson.stream.JsonReader;
import com.google.gson.stream.JsonToken;
import io.vavr.control.Either;
import java.io.IOException;
import java.io.StringReader;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.function.Function;

/**
 * Parses JSON documents strictly.
 *
 * <pre>{@code
 * Either<JsonError, Long> offset = JsonDocument.read(text, object -> object.longField("offset"));
 * }</pre>
 *
 * <p>Invariant: {@link #read} returns an error for any invalid text and never throws. Stateless and
 * thread-safe.
 */
public final class JsonDocument {
  private static final TypeAdapter<JsonElement> ELEMENTS = new Gson().getAdapter(JsonElement.class);

  private JsonDocument() {}

  /**
   * Parses a document whose root is an object.
   *
   * @param text the document
   * @param parser maps the fields to a value; may throw {@link InvalidJsonException}
   */
  public static <T> Either<JsonError, T> read(String text, Function<JsonFields, T> parser) {
    try {
      return Either.right(parser.apply(new JsonFields("", parse(text))));
    } catch (InvalidJsonException e) {
      return Either.left(e.error());
    }
  }

  /** Decodes UTF-8; returns an error on the left side if the bytes are not valid. */
  public static Either<JsonError, String> decodeText(ByteBuffer bytes) {
    try {
      return Either.right(StandardCharsets.UTF_8.newDecoder().decode(bytes).toString());
    } catch (CharacterCodingException e) {
      return Either.left(new JsonError.NotJson("the bytes are not UTF-8"));
    }
  }

  private static JsonElement parse(String text) {
    try (JsonReader reader = new JsonReader(new StringReader(text))) {
      reader.setStrictness(Strictness.STRICT);
      JsonElement root = ELEMENTS.read(reader);
      if (reader.peek() != JsonToken.END_DOCUMENT) {
        throw notJson("unexpected text after the document");
      }
      return root;
    } catch (IOException | JsonParseException | IllegalStateException | NumberFormatException e) {
      throw notJson(firstLine(e));
    }
  }

  private static InvalidJsonException notJson(String detail) {
    return new InvalidJsonException(new JsonError.NotJson(detail));
  }

  private static String firstLine(Exception exception) {
    String message = String.valueOf(exception.getMessage());
    return message.lines().findFirst().orElse("");
  }
}
