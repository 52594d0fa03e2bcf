package org.shallothook.transport.platform;

import java.nio.ByteBuffer;

/**
 * How a call with a whole answer has ended.
 *
 * <p>Immutable and thread-safe.
 */
public sealed interface HttpResult {

  /**
   * The server has answered.
   *
   * @param status HTTP status
   * @param contentType content type of the body, or the empty string
   * @param body body as text
   */
  record Answered(int status, String contentType, String body) implements HttpResult {}

  /**
   * The server has answered a call for bytes.
   *
   * @param status HTTP status
   * @param body body, read-only
   */
  record AnsweredBytes(int status, ByteBuffer body) implements HttpResult {}

  /**
   * Nothing was sent, so the call has had no effect.
   *
   * @param detail what was found
   */
  record NotSent(String detail) implements HttpResult {}

  /**
   * The call was sent and its answer is not known.
   *
   * @param detail what was found
   * @param isTooLarge whether the answer was larger than allowed
   */
  record Lost(String detail, boolean isTooLarge) implements HttpResult {}
}
