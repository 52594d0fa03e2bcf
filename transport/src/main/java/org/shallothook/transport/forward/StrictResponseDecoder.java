package org.shallothook.transport.forward;

import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponseDecoder;

/**
 * Decodes the responses of a connection, whose requests tell whether responses have bodies.
 *
 * <p>Not thread-safe: each connection has its own.
 */
final class StrictResponseDecoder extends HttpResponseDecoder {
  /** The requests that a connection carries. */
  interface Requests {
    /** Returns whether the requests are HEAD requests, whose responses have no body. */
    boolean areHeads();
  }

  private final Requests requests;

  StrictResponseDecoder(Requests requests) {
    this.requests = requests;
  }

  @Override
  protected boolean isContentAlwaysEmpty(HttpMessage response) {
    return requests.areHeads() || super.isContentAlwaysEmpty(response);
  }
}
