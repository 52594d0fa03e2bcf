package org.shallothook.protocol.json;

import java.util.Objects;

/**
 * Carries a {@link JsonError} from the depth of a form to {@link JsonDocument#read}.
 *
 * <p>Never leaves the module. Immutable and thread-safe.
 */
public final class JsonFormException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final transient JsonError error;

  /** Creates an exception without a stack trace. */
  public JsonFormException(JsonError error) {
    super(error.message(), null, false, false);
    this.error = Objects.requireNonNull(error, "error");
  }

  /** Returns the error carried. */
  public JsonError error() {
    return error;
  }
}
