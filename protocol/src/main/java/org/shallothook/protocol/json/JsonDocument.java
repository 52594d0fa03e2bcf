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
 * Entrance to the strict reading of a JSON document.
 *
 * <pre>{@code
 * Either<JsonError, Long> offset = JsonDocument.read(text, object -> object.longField("offset"));
 * }</pre>
 *
 * <p>Invariant: no text makes reading throw. Stateless and thread-safe.
 */
public final class JsonDocument {
  private static final TypeAdapter<JsonElement> ELEMENTS = new Gson().getAdapter(JsonElement.class);

  private JsonDocument() {}

  /**
   * Reads a document whose root is an object.
   *
   * @param text the document
   * @param form reads the fields; may throw {@link JsonFormException}
   */
  public static <T> Either<JsonError, T> read(String text, Function<JsonFields, T> form) {
    try {
      return Either.right(form.apply(new JsonFields("", parse(text))));
    } catch (JsonFormException e) {
      return Either.left(e.error());
    }
  }

  /** Returns bytes as text, or empty on the right side of an error where they are not UTF-8. */
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
        throw notJson("text follows the document");
      }
      return root;
    } catch (IOException | JsonParseException | IllegalStateException | NumberFormatException e) {
      throw notJson(firstLine(e));
    }
  }

  private static JsonFormException notJson(String detail) {
    return new JsonFormException(new JsonError.NotJson(detail));
  }

  private static String firstLine(Exception exception) {
    String message = String.valueOf(exception.getMessage());
    return message.lines().findFirst().orElse("");
  }
}
