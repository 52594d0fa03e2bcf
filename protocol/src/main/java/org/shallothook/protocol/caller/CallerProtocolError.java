package org.shallothook.protocol.caller;

import org.shallothook.protocol.json.JsonError;
import org.shallothook.state.request.Refusal;
import org.shallothook.state.request.RefusalReason;

/**
 * Reason why a caller's request could not be parsed.
 *
 * <p>Invariant: the request was not run. Immutable and thread-safe.
 */
public sealed interface CallerProtocolError {

  /** Returns a description of the error, in one sentence. */
  String message();

  /** Returns the refusal with which the router responds. */
  default Refusal toRefusal() {
    return Refusal.notRun(RefusalReason.MALFORMED_REQUEST, message());
  }

  /**
   * The body is not valid JSON, or its fields are invalid.
   *
   * @param cause error of the parser
   */
  record MalformedBody(JsonError cause) implements CallerProtocolError {
    @Override
    public String message() {
      return cause.message();
    }
  }

  /**
   * A header has an invalid value.
   *
   * @param header name of the header
   * @param expected description of the allowed values
   */
  record InvalidHeader(String header, String expected) implements CallerProtocolError {
    @Override
    public String message() {
      return "Header '" + header + "' must be " + expected + ".";
    }
  }
}
