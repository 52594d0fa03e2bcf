package org.shallothook.coordination.port;

import org.shallothook.coordination.message.PeerMessage;

/**
 * Outgoing commands of the decision classes that routers and sidecars share.
 *
 * <p>Each core implements it with its own command types. Not thread-safe: used on the decision
 * thread.
 */
public interface Outbox {

  /** Sends a message to a peer. */
  void send(String peer, PeerMessage message);

  /** Requests a read of a log stream, starting at an offset. */
  void readLog(String stream, long fromOffset);

  /**
   * Requests an append to a log stream and counts it by its kind.
   *
   * @return token that identifies the append in the event with its result
   */
  long appendLog(AppendKind kind, String stream, String payload);
}
