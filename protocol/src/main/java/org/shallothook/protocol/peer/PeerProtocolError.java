package org.shallothook.protocol.peer;

/**
 * Reason why a frame of a peer could not be decoded.
 *
 * <p>Invariant: every message suggests a remedy. Immutable and thread-safe.
 */
public sealed interface PeerProtocolError {

  /** Returns the error and its remedy, in one line. */
  String message();

  /**
   * The bytes are not a valid frame.
   *
   * @param detail message of the protobuf parser
   */
  record MalformedFrame(String detail) implements PeerProtocolError {
    @Override
    public String message() {
      return "The frame is malformed ("
          + detail
          + "). Check that the peer is a shallothook process.";
    }
  }

  /**
   * The frame has no message, or one that this version does not define.
   *
   * @param sender name of the sender in the frame
   */
  record UnknownMessage(String sender) implements PeerProtocolError {
    @Override
    public String message() {
      return "The frame of '" + sender + "' has no known message. Run the same version everywhere.";
    }
  }

  /**
   * A field has an unknown or invalid value.
   *
   * @param field path of the field
   * @param value value of the field
   */
  record InvalidField(String field, String value) implements PeerProtocolError {
    @Override
    public String message() {
      return "Field '"
          + field
          + "' has the invalid value '"
          + value
          + "'. Run the same version everywhere.";
    }
  }
}
