package org.shallothook.state.booking;

import java.util.Objects;
import java.util.Optional;

/**
 * What a service answered to a call that ran.
 *
 * <p>Immutable and thread-safe.
 *
 * @param status HTTP status
 * @param contentType content type of the body
 * @param body body of the answer; empty where it was too long to be kept
 */
public record ServiceOutcome(int status, String contentType, Optional<String> body) {
  /** Greatest length of a body that is kept, in characters. */
  public static final int LONGEST_BODY = 8_192;

  public ServiceOutcome {
    Objects.requireNonNull(contentType, "contentType");
    Objects.requireNonNull(body, "body");
  }

  /** Returns the outcome to be kept of an answer. */
  public static ServiceOutcome of(int status, String contentType, String body) {
    Optional<String> kept = Optional.of(body).filter(text -> text.length() <= LONGEST_BODY);
    return new ServiceOutcome(status, contentType, kept);
  }
}
