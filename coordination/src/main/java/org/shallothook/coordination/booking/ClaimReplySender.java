package org.shallothook.coordination.booking;

import org.shallothook.coordination.message.PeerMessage;

/** Takes the answers of keepers to those who asked. Used on the decision thread. */
@FunctionalInterface
interface ClaimReplies {
  /** Delivers an answer to a peer, or to this process itself. */
  void send(String asker, PeerMessage answer);
}
