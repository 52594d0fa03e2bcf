package org.shallothook.transport.peer;

import org.shallothook.coordination.message.Envelope;

/**
 * Takes what happens on connections to peers.
 *
 * <p>Called on the loop of the peers, in order for each peer. Implementations must not block.
 */
public interface PeerListener {

  /** A message has arrived. */
  void messageReceived(Envelope envelope);

  /** No connection could be opened; nothing sent since the last loss has arrived. */
  void peerUnreachable(String peer);

  /** An open connection was lost; what was sent on it may have arrived. */
  void peerLost(String peer);

  /** Returns whether reading from peers should stop for a while. */
  default boolean isCongested() {
    return false;
  }
}
