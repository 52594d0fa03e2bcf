package org.shallothook.protocol.peer;

/**
 * Passes an invalid field from nested decoder calls up to the codec.
 *
 * <p>The codecs catch it and return a {@link PeerProtocolError}. Immutable and thread-safe.
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
