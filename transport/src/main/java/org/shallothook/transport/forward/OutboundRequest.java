package org.shallothook.transport.forward;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import org.shallothook.coordination.forward.RequestHead;

/**
 * A caller's request that is sent to one or more servers.
 *
 * <p>Immutable, except for the reference count of the body, which the exchange owns. Confined to
 * the event loop.
 *
 * @param original request line and headers as received from the caller
 * @param parsedHead fields parsed from the request line and the headers
 * @param body complete body
 */
record OutboundRequest(HttpRequest original, RequestHead parsedHead, ByteBuf body) {
  HttpMethod method() {
    return original.method();
  }

  /** Returns whether the method is GET or HEAD, which makes the request safe to repeat. */
  boolean hasSafeMethod() {
    return HttpMethod.GET.equals(method()) || HttpMethod.HEAD.equals(method());
  }
}
