package org.shallothook.coordination.port;

import org.shallothook.coordination.message.PeerMessage;

/**
 * Way out for decision classes that live in routers and in sidecars alike.
 *
 * <p>Each core implements it by its own commands. Not thread-safe: used on the decision thread.
 */
public interface Outbox {

  /** Sends a message to a peer. */
  void send(String peer, PeerMessage message);

  /** Asks for a read of a stream of the log from an offset on. */
  void readLog(String stream, long fromOffset);

  /**
   * Asks for an append to a stream of the log and counts it by its kind.
   *
   * @return token that the answer repeats
   */
  long appendLog(AppendKind kind, String stream, String payload);
}
