package org.shallothook.transport.forward;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * Encodes responses to callers. Keeps the body of a 205, which the base class drops, although a 205
 * is framed like any other response.
 *
 * <p>Not thread-safe: each connection has its own.
 */
final class WholeResponseEncoder extends HttpResponseEncoder {
  @Override
  protected boolean isContentAlwaysEmpty(HttpResponse response) {
    return !HttpResponseStatus.RESET_CONTENT.equals(response.status())
        && super.isContentAlwaysEmpty(response);
  }
}
