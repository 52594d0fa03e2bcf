package org.shallothook.protocol.json;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonPrimitive;
import java.math.BigDecimal;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;

/**
 * Typed access to the fields of one JSON object.
 *
 * <p>Values are never converted between types: a field with another type than the requested one is
 * an error. Unknown fields are ignored, and {@code null} counts as missing. The accessors throw
 * {@link InvalidJsonException} with the path of the field.
 *
 * <p>Invariant: returned strings can be encoded as UTF-8. Not thread-safe.
 */
public final class JsonFields {
  private static final int MAXIMUM_NUMBER_DIGITS = 32;

  private final String path;
  private final JsonObject object;

  JsonFields(String path, JsonElement element) {
    this.path = path;
    if (!(element instanceof JsonObject found)) {
      throw wrongType(path.isEmpty() ? "(root)" : path, "an object");
    }
    this.object = found;
  }

  /** Returns a string field. */
  public String string(String name) {
    return optionalString(name).orElseThrow(() -> missing(name));
  }

  /** Returns an optional string field. */
  public Optional<String> optionalString(String name) {
    return element(name).map(element -> toStringValue(pathOf(name), element));
  }

  /** Returns a string field; empty also if the field has another type. */
  public Optional<String> validString(String name) {
    return element(name).flatMap(JsonFields::stringOf);
  }

  /** Returns a 64-bit integer field. */
  public long longField(String name) {
    return element(name)
        .map(element -> toLong(pathOf(name), element))
        .orElseThrow(() -> missing(name));
  }

  /** Returns a 64-bit integer field that must not be negative. */
  public long nonNegative(String name) {
    long value = longField(name);
    if (value < 0) {
      throw reject(name, "not negative");
    }
    return value;
  }

  /** Returns a 32-bit integer field. */
  public int integer(String name) {
    return optionalInteger(name).orElseThrow(() -> missing(name));
  }

  /** Returns an optional 32-bit integer field. */
  public Optional<Integer> optionalInteger(String name) {
    return element(name).map(element -> toInteger(pathOf(name), element));
  }

  /** Returns an optional boolean field. */
  public Optional<Boolean> optionalBoolean(String name) {
    return element(name).map(element -> toBoolean(pathOf(name), element));
  }

  /** Returns an array of objects, each mapped to a value by {@code parser}. */
  public <T> List<T> objects(String name, Function<JsonFields, T> parser) {
    List<T> read = new ArrayList<>();
    for (JsonElement element : array(name)) {
      read.add(parser.apply(new JsonFields(pathOf(name) + "[" + read.size() + "]", element)));
    }
    return read;
  }

  /**
   * Returns the objects of an array that {@code parser} can map to a value.
   *
   * @param onInvalid receives the error of each other element
   */
  public <T> List<T> validObjects(
      String name, Function<JsonFields, T> parser, Consumer<JsonError> onInvalid) {
    List<T> read = new ArrayList<>();
    int index = 0;
    for (JsonElement element : array(name)) {
      try {
        read.add(parser.apply(new JsonFields(pathOf(name) + "[" + index + "]", element)));
      } catch (InvalidJsonException e) {
        onInvalid.accept(e.error());
      }
      index++;
    }
    return read;
  }

  /** Returns an optional object, mapped to a value by {@code parser}. */
  public <T> Optional<T> optionalObject(String name, Function<JsonFields, T> parser) {
    return element(name).map(found -> parser.apply(new JsonFields(pathOf(name), found)));
  }

  /** Returns an optional 64-bit integer field. */
  public Optional<Long> optionalLong(String name) {
    return element(name).map(found -> toLong(pathOf(name), found));
  }

  /** Returns an optional number field as a double. */
  public Optional<Double> optionalNumber(String name) {
    return element(name)
        .map(
            found -> {
              if (found instanceof JsonPrimitive primitive && primitive.isNumber()) {
                return primitive.getAsDouble();
              }
              throw wrongType(pathOf(name), "a number");
            });
  }

  /** Returns an array of strings. */
  public List<String> strings(String name) {
    List<String> read = new ArrayList<>();
    for (JsonElement element : array(name)) {
      read.add(toStringValue(pathOf(name) + "[" + read.size() + "]", element));
    }
    return read;
  }

  /** Returns the length of an array. */
  public int arraySize(String name) {
    return array(name).size();
  }

  /** Returns whether the field is present and not null. */
  public boolean has(String name) {
    return element(name).isPresent();
  }

  /** Returns an exception for an invalid value of a field, for the caller to throw. */
  public InvalidJsonException reject(String name, String expected) {
    return wrongType(pathOf(name), expected);
  }

  private JsonArray array(String name) {
    JsonElement element = element(name).orElseThrow(() -> missing(name));
    if (element instanceof JsonArray array) {
      return array;
    }
    throw wrongType(pathOf(name), "a list");
  }

  private Optional<JsonElement> element(String name) {
    return Optional.ofNullable(object.get(name)).filter(element -> !element.isJsonNull());
  }

  private String pathOf(String name) {
    return path.isEmpty() ? name : path + "." + name;
  }

  private InvalidJsonException missing(String name) {
    return new InvalidJsonException(new JsonError.MissingField(pathOf(name)));
  }

  private static String toStringValue(String path, JsonElement element) {
    return stringOf(element).orElseThrow(() -> wrongType(path, "a string of Unicode characters"));
  }

  private static Optional<String> stringOf(JsonElement element) {
    return element instanceof JsonPrimitive primitive && primitive.isString()
        ? Optional.of(primitive.getAsString())
            .filter(text -> StandardCharsets.UTF_8.newEncoder().canEncode(text))
        : Optional.empty();
  }

  private static boolean toBoolean(String path, JsonElement element) {
    if (element instanceof JsonPrimitive primitive && primitive.isBoolean()) {
      return primitive.getAsBoolean();
    }
    throw wrongType(path, "true or false");
  }

  private static int toInteger(String path, JsonElement element) {
    long value = toLong(path, element);
    if (value != (int) value) {
      throw wrongType(path, "a whole number of 32 bits");
    }
    return (int) value;
  }

  private static long toLong(String path, JsonElement element) {
    if (element instanceof JsonPrimitive primitive && primitive.isNumber()) {
      String digits = primitive.getAsString();
      // Bounds the cost of parsing. Exponents are rejected because a short one can denote a number
      // with billions of digits.
      if (digits.length() <= MAXIMUM_NUMBER_DIGITS && digits.matches("-?[0-9]+")) {
        try {
          return new BigDecimal(digits).longValueExact();
        } catch (ArithmeticException e) {
          throw wrongType(path, "a whole number of 64 bits");
        }
      }
    }
    throw wrongType(path, "a whole number");
  }

  private static InvalidJsonException wrongType(String path, String expected) {
    return new InvalidJsonException(new JsonError.WrongType(path, expected));
  }
}
