package org.shallothook.transport.forward;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import org.shallothook.coordination.forward.RequestHead;

/**
 * A caller's request as it is sent to servers, any number of times.
 *
 * <p>Immutable, but for the reference count of the body, which the exchange holds. Used on the loop
 * alone.
 *
 * @param original the caller's head
 * @param typed what the head says
 * @param body whole body
 */
record OutboundRequest(HttpRequest original, RequestHead typed, ByteBuf body) {
  HttpMethod method() {
    return original.method();
  }

  /** Returns whether the method alone says that the request may be repeated. */
  boolean isRead() {
    return HttpMethod.GET.equals(method()) || HttpMethod.HEAD.equals(method());
  }
}
