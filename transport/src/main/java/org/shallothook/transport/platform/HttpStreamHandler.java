package org.shallothook.transport.platform;

import io.netty.handler.codec.http.HttpHeaders;
import java.nio.ByteBuffer;

/**
 * Receives one response as it arrives. Exactly one of {@link #ended} and {@link #failed} is called
 * last.
 *
 * <p>Called on the client's event loop.
 */
interface HttpStreamHandler {

  /** The status line and headers have arrived. */
  void started(int status, HttpHeaders headers);

  /** A part of the body has arrived; the buffer is valid only during this method. */
  void received(ByteBuffer part);

  /** The response is complete. */
  void ended();

  /**
   * The exchange failed before the response was complete.
   *
   * @param wasSent whether any part of the request may have reached the server
   * @param detail cause of the failure, for the log
   */
  void failed(boolean wasSent, String detail);
}
