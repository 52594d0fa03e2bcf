package org.shallothook.state.booking;

import java.util.Objects;
import java.util.Optional;

/**
 * Response of a service to a call that ran.
 *
 * <p>Immutable and thread-safe.
 *
 * @param status HTTP status
 * @param contentType content type of the body
 * @param body body of the response; empty if it was too long to be kept
 */
public record ServiceOutcome(int status, String contentType, Optional<String> body) {
  /** Maximum length of a body that is kept, in characters. */
  public static final int MAXIMUM_BODY_CHARS = 8_192;

  public ServiceOutcome {
    Objects.requireNonNull(contentType, "contentType");
    Objects.requireNonNull(body, "body");
  }

  /** Returns the outcome for a response, without its body if that is too long to be kept. */
  public static ServiceOutcome of(int status, String contentType, String body) {
    Optional<String> kept = Optional.of(body).filter(text -> text.length() <= MAXIMUM_BODY_CHARS);
    return new ServiceOutcome(status, contentType, kept);
  }
}
