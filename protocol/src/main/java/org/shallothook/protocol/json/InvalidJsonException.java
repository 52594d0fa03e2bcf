package org.shallothook.protocol.json;

import java.util.Objects;

/**
 * Passes a {@link JsonError} from nested fields up to {@link JsonDocument#read}.
 *
 * <p>Only thrown within {@link JsonDocument#read}, which catches it. Immutable and thread-safe.
 */
public final class InvalidJsonException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final transient JsonError error;

  /** Creates an exception without a stack trace. */
  public InvalidJsonException(JsonError error) {
    super(error.message(), null, false, false);
    this.error = Objects.requireNonNull(error, "error");
  }

  /** Returns the error. */
  public JsonError error() {
    return error;
  }
}
