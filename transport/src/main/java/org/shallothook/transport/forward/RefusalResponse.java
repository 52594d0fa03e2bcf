package org.shallothook.transport.forward;

import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Locale;
import org.shallothook.protocol.caller.CallerHeaders;
import org.shallothook.protocol.caller.ErrorResponseWriter;
import org.shallothook.state.request.Refusal;
import org.shallothook.state.request.RequestId;

/**
 * Creates the HTTP response for a refusal.
 *
 * <p>Stateless and thread-safe.
 */
final class RefusalResponse {
  private static final double MICROS_PER_SECOND = 1_000_000;

  private RefusalResponse() {}

  /**
   * Returns the response; with {@code Connection: close} if it is the last on its connection.
   *
   * @param nowMicros the time, on the clock of the refusal's retry time
   */
  static FullHttpResponse of(
      RequestId id, Refusal refusal, boolean isLast, ByteBufAllocator allocator, long nowMicros) {
    FullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(refusal.reason().status()),
            ByteBufUtil.writeUtf8(allocator, ErrorResponseWriter.body(id, refusal)));
    response.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
    response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
    response.headers().set(CallerHeaders.OUTCOME, refusal.outcome().headerValue());
    refusal
        .retryAtMicros()
        .ifPresent(
            at ->
                response.headers().set(HttpHeaderNames.RETRY_AFTER, secondsBetween(nowMicros, at)));
    if (isLast) {
      response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
    return response;
  }

  private static String secondsBetween(long nowMicros, long atMicros) {
    double seconds = Math.max(0, atMicros - nowMicros) / MICROS_PER_SECOND;
    return String.format(Locale.ROOT, "%.3f", seconds);
  }
}
