package org.shallothook.transport.platform;

import java.nio.ByteBuffer;

/**
 * Takes one answer as it arrives. Exactly one of {@link #ended} and {@link #failed} is called last.
 *
 * <p>Called on the loop of the client.
 */
interface HttpStreamHandler {

  /** The head of the answer has arrived. */
  void started(int status, String contentType);

  /** A part of the body has arrived; the buffer is valid during the call only. */
  void received(ByteBuffer part);

  /** The answer is whole. */
  void ended();

  /**
   * There is no whole answer.
   *
   * @param wasSent whether anything may have reached the server
   * @param detail what was found
   */
  void failed(boolean wasSent, String detail);
}
