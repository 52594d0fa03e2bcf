package org.shallothook.transport.caller;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.ByteBuffer;
import java.util.Optional;

/**
 * A complete HTTP request of a caller.
 *
 * <p>Not thread-safe: confined to the event loop of its connection.
 *
 * @param head request line and headers
 * @param body the body, consumed when it is decoded
 * @param receivedAtMicros when the last byte was received, in microseconds since the epoch
 */
record CallerRequest(HttpRequest head, ByteBuffer body, long receivedAtMicros) {

  boolean isMethod(HttpMethod method) {
    return head.method().equals(method);
  }

  /** Returns the path without the query. */
  String path() {
    String uri = head.uri();
    int query = uri.indexOf('?');
    return query < 0 ? uri : uri.substring(0, query);
  }

  boolean hasQuery() {
    return head.uri().indexOf('?') >= 0;
  }

  Optional<String> header(CharSequence name) {
    return Optional.ofNullable(head.headers().get(name));
  }

  String contentType() {
    return header(HttpHeaderNames.CONTENT_TYPE).orElse("application/json");
  }

  boolean isKeepAlive() {
    return HttpUtil.isKeepAlive(head);
  }

  /** Returns whether the caller supports chunked transfer encoding, as HTTP/1.1 requires. */
  boolean supportsChunkedEncoding() {
    return head.protocolVersion().compareTo(HttpVersion.HTTP_1_1) >= 0;
  }
}
