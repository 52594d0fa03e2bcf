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
import org.shallothook.protocol.caller.ErrorForm;
import org.shallothook.state.request.Outcome;
import org.shallothook.state.request.Refusal;
import org.shallothook.state.request.RequestId;

/**
 * An answer with a whole body.
 *
 * <p>Immutable and thread-safe.
 *
 * @param status HTTP status
 * @param contentType content type of the body
 * @param body body of the answer
 * @param outcome what is known of the request's effect
 */
record WholeResponse(HttpResponseStatus status, String contentType, String body, Outcome outcome) {
  static final String JSON = "application/json";

  private static final int FIRST_FINAL_STATUS = 200;
  private static final int LAST_STATUS = 599;

  /** Returns a JSON answer with status 200. */
  static WholeResponse ok(String body) {
    return new WholeResponse(HttpResponseStatus.OK, JSON, body, Outcome.DONE);
  }

  /** Returns the answer of a service; a status that cannot end a response becomes 502. */
  static WholeResponse ofService(int status, String contentType, String body) {
    boolean isFinal = status >= FIRST_FINAL_STATUS && status <= LAST_STATUS;
    HttpResponseStatus sent =
        isFinal ? HttpResponseStatus.valueOf(status) : HttpResponseStatus.BAD_GATEWAY;
    return new WholeResponse(sent, contentType, body, Outcome.DONE);
  }

  /** Returns the answer that carries a refusal. */
  static WholeResponse of(RequestId id, Refusal refusal) {
    return new WholeResponse(
        HttpResponseStatus.valueOf(refusal.reason().status()),
        JSON,
        ErrorForm.body(id, refusal),
        refusal.outcome());
  }

  /** Returns the form that is written to a connection. */
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
