package org.shallothook.transport.peer;

import org.shallothook.coordination.message.Envelope;

/**
 * Receives messages and connection failures of peers.
 *
 * <p>Called on the peer event loop, in order for each peer. Implementations must not block.
 */
public interface PeerListener {

  /** A message has arrived. */
  void messageReceived(Envelope envelope);

  /** No connection could be opened; no message sent since the last loss has been delivered. */
  void peerUnreachable(String peer);

  /** An open connection was lost; messages sent on it may have been delivered. */
  void peerLost(String peer);

  /** Returns whether reading from peers should pause until the backlog has shrunk. */
  default boolean isCongested() {
    return false;
  }
}
