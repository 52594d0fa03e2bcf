package org.shallothook.protocol.json;

/**
 * Why a JSON document could not be read.
 *
 * <p>Invariant: names the place in the document. Immutable and thread-safe.
 */
public sealed interface JsonError {

  /** Returns what was expected and found, and where, in one line. */
  String message();

  /**
   * The text is not JSON.
   *
   * @param detail what the parser found
   */
  record NotJson(String detail) implements JsonError {
    @Override
    public String message() {
      return "The body is not valid JSON (" + detail + ").";
    }
  }

  /**
   * A field is missing.
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
   * A field has another type or range than it must have.
   *
   * @param field path of the field
   * @param expected what the field must be
   */
  record WrongType(String field, String expected) implements JsonError {
    @Override
    public String message() {
      return "Field '" + field + "' must be " + expected + ".";
    }
  }
}
