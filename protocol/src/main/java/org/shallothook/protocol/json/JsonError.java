package org.shallothook.protocol.json;

/**
 * Reason why a JSON document could not be parsed.
 *
 * <p>Invariant: identifies the position in the document. Immutable and thread-safe.
 */
public sealed interface JsonError {

  /** Returns the error and its position in the document, in one line. */
  String message();

  /**
   * The text is not JSON.
   *
   * @param detail message of the parser
   */
  record NotJson(String detail) implements JsonError {
    @Override
    public String message() {
      return "The body is not valid JSON (" + detail + ").";
    }
  }

  /**
   * A required field is missing or null.
   *
   * @param field path of the field
   */
  record MissingField(String field) implements JsonError {
    @Override
    public String message() {
      return "Field '" + field + "' is missing.";
    }
  }

  /**
   * A field has the wrong type, or its value is outside the allowed range.
   *
   * @param field path of the field
   * @param expected description of the allowed values
   */
  record WrongType(String field, String expected) implements JsonError {
    @Override
    public String message() {
      return "Field '" + field + "' must be " + expected + ".";
    }
  }
}
