package org.shallothook.transport.caller;

import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import org.shallothook.protocol.caller.CallerHeaders;
import org.shallothook.protocol.caller.ErrorResponseWriter;
import org.shallothook.state.request.Outcome;
import org.shallothook.state.request.Refusal;
import org.shallothook.state.request.RequestId;

/**
 * A response that is sent with its complete body, as opposed to a stream.
 *
 * <p>Immutable and thread-safe.
 *
 * @param status HTTP status
 * @param contentType content type of the body
 * @param body complete body
 * @param outcome whether the request was executed, as far as known
 */
record FullResponse(HttpResponseStatus status, String contentType, String body, Outcome outcome) {
  static final String JSON = "application/json";

  private static final int FIRST_FINAL_STATUS = 200;
  private static final int LAST_STATUS = 599;

  /** Returns a JSON response with status 200. */
  static FullResponse ok(String body) {
    return new FullResponse(HttpResponseStatus.OK, JSON, body, Outcome.DONE);
  }

  /** Returns a service's response; a status that is not final (outside 200-599) becomes 502. */
  static FullResponse ofService(int status, String contentType, String body) {
    boolean isFinal = status >= FIRST_FINAL_STATUS && status <= LAST_STATUS;
    HttpResponseStatus finalStatus =
        isFinal ? HttpResponseStatus.valueOf(status) : HttpResponseStatus.BAD_GATEWAY;
    return new FullResponse(finalStatus, contentType, body, Outcome.DONE);
  }

  /** Returns the response for a refusal. */
  static FullResponse of(RequestId id, Refusal refusal) {
    return new FullResponse(
        HttpResponseStatus.valueOf(refusal.reason().status()),
        JSON,
        ErrorResponseWriter.body(id, refusal),
        refusal.outcome());
  }

  /**
   * Returns the HTTP message.
   *
   * @param isLast whether the connection is closed after this response
   */
  FullHttpResponse toHttp(RequestId id, boolean isLast, ByteBufAllocator allocator) {
    FullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1, status, ByteBufUtil.writeUtf8(allocator, body));
    String type = isPrintable(contentType) ? contentType : JSON;
    response.headers().set(HttpHeaderNames.CONTENT_TYPE, type);
    response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
    response.headers().set(CallerHeaders.OUTCOME, outcome.headerValue());
    response.headers().set(CallerHeaders.REQUEST_ID, id.value());
    if (isLast) {
      response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
    return response;
  }

  private static boolean isPrintable(String text) {
    return !text.isBlank() && text.chars().allMatch(next -> next >= ' ' && next < 0x7f);
  }
}
