package org.shallothook.protocol.peer;

/**
 * Why a frame of a peer could not be read.
 *
 * <p>Invariant: every message names a remedy. Immutable and thread-safe.
 */
public sealed interface PeerProtocolError {

  /** Returns what was found and what to do about it, in one line. */
  String message();

  /**
   * The bytes are no frame.
   *
   * @param detail what the codec found
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
   * The frame carries no message that this version knows.
   *
   * @param sender name of the sender as the frame has it
   */
  record UnknownMessage(String sender) implements PeerProtocolError {
    @Override
    public String message() {
      return "The frame of '" + sender + "' has no known message. Run the same version everywhere.";
    }
  }

  /**
   * A field has a value that this version does not know or allow.
   *
   * @param field path of the field
   * @param value value found
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
