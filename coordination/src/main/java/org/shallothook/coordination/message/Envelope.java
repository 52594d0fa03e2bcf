package org.shallothook.coordination.message;

import java.util.Objects;

/**
 * A message with what every message between processes carries.
 *
 * <p>Immutable and thread-safe.
 *
 * @param sender name of the sending instance
 * @param senderIncarnation incarnation of the sending process; grows with each restart
 * @param configurationOffset offset below which the sender has the configuration in force
 * @param message the message
 */
public record Envelope(
    String sender, long senderIncarnation, long configurationOffset, PeerMessage message) {
  public Envelope {
    Objects.requireNonNull(sender, "sender");
    Objects.requireNonNull(message, "message");
  }
}
