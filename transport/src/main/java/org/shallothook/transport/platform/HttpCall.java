package org.shallothook.transport.platform;

import io.netty.handler.codec.http.HttpMethod;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;

/**
 * A request that a client sends.
 *
 * <p>Immutable and thread-safe.
 *
 * @param address address of the server
 * @param method HTTP method
 * @param uri path and query
 * @param headers headers besides those of the connection and the body's length
 * @param body body, if any
 * @param timeout for a whole answer, longest wait for it; for a stream, longest silence
 * @param isRepeatable whether the call may go over a connection that was used before, which the
 *     server may be closing
 */
public record HttpCall(
    InetSocketAddress address,
    HttpMethod method,
    String uri,
    Map<String, String> headers,
    Optional<ByteBuffer> body,
    Duration timeout,
    boolean isRepeatable) {
  private static final String CONTENT_TYPE = "content-type";
  private static final String JSON = "application/json";
  private static final String OCTETS = "application/octet-stream";

  public HttpCall {
    Objects.requireNonNull(address, "address");
    headers = Map.copyOf(headers);
  }

  /** Returns a read. */
  public static HttpCall get(InetSocketAddress address, String uri, Duration timeout) {
    return new HttpCall(address, HttpMethod.GET, uri, Map.of(), Optional.empty(), timeout, true);
  }

  /** Returns a call with a JSON body, which may not be repeated. */
  public static HttpCall postJson(
      InetSocketAddress address, String uri, String body, Duration timeout) {
    Map<String, String> headers = Map.of(CONTENT_TYPE, JSON);
    return new HttpCall(address, HttpMethod.POST, uri, headers, bytesOf(body), timeout, false);
  }

  /** Returns a call with an opaque body, which may not be repeated. */
  public static HttpCall postBytes(
      InetSocketAddress address, String uri, ByteBuffer body, Duration timeout) {
    Map<String, String> headers = Map.of(CONTENT_TYPE, OCTETS);
    return new HttpCall(address, HttpMethod.POST, uri, headers, Optional.of(body), timeout, false);
  }

  /** Returns a deletion without an answer's body. */
  public static HttpCall delete(InetSocketAddress address, String uri, Duration timeout) {
    return new HttpCall(address, HttpMethod.DELETE, uri, Map.of(), Optional.empty(), timeout, true);
  }

  /** Returns the same call with a content type and further headers. */
  public HttpCall withHeaders(String contentType, Map<String, String> further) {
    Map<String, String> all = new LinkedHashMap<>(further);
    all.put(CONTENT_TYPE, contentType);
    return new HttpCall(address, method, uri, all, body, timeout, isRepeatable);
  }

  /** Returns the body that a text makes. */
  public static Optional<ByteBuffer> bytesOf(String text) {
    return Optional.of(ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)));
  }
}
