package org.shallothook.coordination.booking;

import org.shallothook.coordination.message.PeerMessage;

/**
 * Sends replies of partition owners to the sidecars that requested them, on the decision thread.
 */
@FunctionalInterface
interface ClaimReplySender {
  /** Sends a reply to a peer, or delivers it locally if the requester is this process. */
  void send(String requester, PeerMessage reply);
}
