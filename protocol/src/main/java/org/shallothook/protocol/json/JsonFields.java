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
import java.util.function.Function;

/**
 * Typed access to the fields of one JSON object.
 *
 * <p>A field with another type than asked for is an error, never converted. Unknown fields are
 * ignored; {@code null} counts as missing. Every method throws {@link JsonFormException} with the
 * path of the field.
 *
 * <p>Invariant: texts handed out can be encoded as UTF-8. Not thread-safe.
 */
public final class JsonFields {
  private static final int LONGEST_NUMBER_DIGITS = 32;

  private final String path;
  private final JsonObject object;

  JsonFields(String path, JsonElement element) {
    this.path = path;
    if (!(element instanceof JsonObject found)) {
      throw wrongType(path.isEmpty() ? "(root)" : path, "an object");
    }
    this.object = found;
  }

  /** Returns a text field. */
  public String text(String name) {
    return optionalText(name).orElseThrow(() -> missing(name));
  }

  /** Returns a text field that may be missing. */
  public Optional<String> optionalText(String name) {
    return element(name).map(element -> toText(pathOf(name), element));
  }

  /** Returns a field with a whole number of 64 bits. */
  public long longField(String name) {
    return element(name)
        .map(element -> toLong(pathOf(name), element))
        .orElseThrow(() -> missing(name));
  }

  /** Returns a field with a whole number of 32 bits. */
  public int integer(String name) {
    return optionalInteger(name).orElseThrow(() -> missing(name));
  }

  /** Returns a field with a whole number of 32 bits that may be missing. */
  public Optional<Integer> optionalInteger(String name) {
    return element(name).map(element -> toInteger(pathOf(name), element));
  }

  /** Returns a truth value that may be missing. */
  public Optional<Boolean> optionalTruth(String name) {
    return element(name).map(element -> toTruth(pathOf(name), element));
  }

  /** Returns a list of objects, each read by a form. */
  public <T> List<T> objects(String name, Function<JsonFields, T> form) {
    List<T> read = new ArrayList<>();
    for (JsonElement element : array(name)) {
      read.add(form.apply(new JsonFields(pathOf(name) + "[" + read.size() + "]", element)));
    }
    return read;
  }

  /** Returns an object that may be missing, read by a form. */
  public <T> Optional<T> optionalObject(String name, Function<JsonFields, T> form) {
    return element(name).map(found -> form.apply(new JsonFields(pathOf(name), found)));
  }

  /** Returns a field with a whole number of 64 bits that may be missing. */
  public Optional<Long> optionalLong(String name) {
    return element(name).map(found -> toLong(pathOf(name), found));
  }

  /** Returns a field with any number that may be missing. */
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

  /** Returns a list of texts. */
  public List<String> texts(String name) {
    List<String> read = new ArrayList<>();
    for (JsonElement element : array(name)) {
      read.add(toText(pathOf(name) + "[" + read.size() + "]", element));
    }
    return read;
  }

  /** Returns the length of a list. */
  public int size(String name) {
    return array(name).size();
  }

  /** Returns whether the object has the field with a value. */
  public boolean has(String name) {
    return element(name).isPresent();
  }

  /** Returns an exception that rejects the value of a field. */
  public JsonFormException reject(String name, String expected) {
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

  private JsonFormException missing(String name) {
    return new JsonFormException(new JsonError.MissingField(pathOf(name)));
  }

  private static String toText(String path, JsonElement element) {
    if (element instanceof JsonPrimitive primitive && primitive.isString()) {
      String text = primitive.getAsString();
      if (StandardCharsets.UTF_8.newEncoder().canEncode(text)) {
        return text;
      }
    }
    throw wrongType(path, "a text of Unicode characters");
  }

  private static boolean toTruth(String path, JsonElement element) {
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
      // The length is checked first: an exponent of a few digits can stand for a huge number.
      if (digits.length() <= LONGEST_NUMBER_DIGITS && digits.matches("-?[0-9]+")) {
        try {
          return new BigDecimal(digits).longValueExact();
        } catch (ArithmeticException e) {
          throw wrongType(path, "a whole number of 64 bits");
        }
      }
    }
    throw wrongType(path, "a whole number");
  }

  private static JsonFormException wrongType(String path, String expected) {
    return new JsonFormException(new JsonError.WrongType(path, expected));
  }
}
