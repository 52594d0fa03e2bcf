package org.shallothook.protocol.caller;

import org.shallothook.protocol.json.JsonError;
import org.shallothook.state.request.Refusal;
import org.shallothook.state.request.RefusalReason;

/**
 * Why a caller's request could not be read.
 *
 * <p>Invariant: the request was not run. Immutable and thread-safe.
 */
public sealed interface CallerProtocolError {

  /** Returns what was found, in one sentence. */
  String message();

  /** Returns the refusal that answers the request. */
  default Refusal toRefusal() {
    return Refusal.notRun(RefusalReason.MALFORMED_REQUEST, message());
  }

  /**
   * The body does not have the form asked for.
   *
   * @param cause what was found
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
   * @param expected what the value must be
   */
  record InvalidHeader(String header, String expected) implements CallerProtocolError {
    @Override
    public String message() {
      return "Header '" + header + "' must be " + expected + ".";
    }
  }
}
