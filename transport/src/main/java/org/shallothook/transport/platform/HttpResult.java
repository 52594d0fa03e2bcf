package org.shallothook.transport.platform;

import java.nio.ByteBuffer;
import java.util.Optional;

/**
 * Result of a request with a buffered response.
 *
 * <p>Immutable and thread-safe.
 */
public sealed interface HttpResult {

  /**
   * The response is complete.
   *
   * @param status HTTP status
   * @param contentType content type of the body, or the empty string
   * @param body body as text
   * @param header value of the header that the call asks for, if the response has it
   */
  record Answered(int status, String contentType, String body, Optional<String> header)
      implements HttpResult {

    /** Creates the result of a call that asks for no header. */
    public Answered(int status, String contentType, String body) {
      this(status, contentType, body, Optional.empty());
    }
  }

  /**
   * The response to a request for bytes is complete.
   *
   * @param status HTTP status
   * @param body body, read-only
   * @param header value of the header that the call asks for, if the response has it
   */
  record AnsweredBytes(int status, ByteBuffer body, Optional<String> header)
      implements HttpResult {}

  /**
   * Nothing was sent, so the request had no effect.
   *
   * @param detail cause of the failure, for the log
   */
  record NotSent(String detail) implements HttpResult {}

  /**
   * The request may have been sent, and there is no usable response; its effect is unknown.
   *
   * @param detail cause of the failure, for the log
   * @param isTooLarge whether the response exceeded the size limit
   */
  record Lost(String detail, boolean isTooLarge) implements HttpResult {}
}
