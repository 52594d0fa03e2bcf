package org.shallothook.transport.forward;

import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import org.shallothook.protocol.caller.ErrorResponseWriter;
import org.shallothook.state.request.Refusal;
import org.shallothook.state.request.RequestId;

/**
 * Creates the HTTP response for a refusal.
 *
 * <p>Stateless and thread-safe.
 */
final class RefusalResponse {
  private RefusalResponse() {}

  /** Returns the response; with {@code Connection: close} if it is the last on its connection. */
  static FullHttpResponse of(
      RequestId id, Refusal refusal, boolean isLast, ByteBufAllocator allocator) {
    FullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(refusal.reason().status()),
            ByteBufUtil.writeUtf8(allocator, ErrorResponseWriter.body(id, refusal)));
    response.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
    response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
    if (isLast) {
      response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
    return response;
  }
}
