package org.shallothook.coordination.message;

import java.util.Objects;

/**
 * A message between two processes with the fields that every such message carries.
 *
 * <p>Immutable and thread-safe.
 *
 * @param sender name of the sending instance
 * @param senderIncarnation incarnation of the sending process; grows with each restart
 * @param configurationOffset configuration log offset below which the sender has applied every
 *     record
 * @param message the message
 */
public record Envelope(
    String sender, long senderIncarnation, long configurationOffset, PeerMessage message) {
  public Envelope {
    Objects.requireNonNull(sender, "sender");
    Objects.requireNonNull(message, "message");
  }
}
