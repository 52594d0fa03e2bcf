package org.shallothook.protocol.peer;

/**
 * Carries an invalid field from the depth of the decoder to its entrance.
 *
 * <p>Never leaves the package. Immutable and thread-safe.
 */
final class InvalidFieldException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  private final String field;
  private final String value;

  InvalidFieldException(String field, Object value) {
    super(field, null, false, false);
    this.field = field;
    this.value = String.valueOf(value);
  }

  PeerProtocolError.InvalidField toError() {
    return new PeerProtocolError.InvalidField(field, value);
  }
}
