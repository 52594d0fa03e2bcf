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
 * An HTTP request to send.
 *
 * <p>Immutable and thread-safe.
 *
 * @param address address of the server
 * @param method HTTP method
 * @param uri path and query
 * @param headers headers other than Host and Content-Length, which the client sets
 * @param body body, if any
 * @param timeout for a buffered response, time until it is complete; for a stream, longest gap
 * @param isRepeatable whether the request may be sent on a pooled connection, where it fails
 *     without a known outcome if the server is just closing the connection
 * @param responseHeader name of a header to report with a buffered response, if any
 */
public record HttpCall(
    InetSocketAddress address,
    HttpMethod method,
    String uri,
    Map<String, String> headers,
    Optional<ByteBuffer> body,
    Duration timeout,
    boolean isRepeatable,
    Optional<String> responseHeader) {
  private static final String CONTENT_TYPE = "content-type";
  private static final String JSON = "application/json";
  private static final String OCTETS = "application/octet-stream";

  public HttpCall {
    Objects.requireNonNull(address, "address");
    headers = Map.copyOf(headers);
  }

  /** Creates a call that asks for no header of the response. */
  public HttpCall(
      InetSocketAddress address,
      HttpMethod method,
      String uri,
      Map<String, String> headers,
      Optional<ByteBuffer> body,
      Duration timeout,
      boolean isRepeatable) {
    this(address, method, uri, headers, body, timeout, isRepeatable, Optional.empty());
  }

  /** Returns a GET request. */
  public static HttpCall get(InetSocketAddress address, String uri, Duration timeout) {
    return new HttpCall(address, HttpMethod.GET, uri, Map.of(), Optional.empty(), timeout, true);
  }

  /** Returns a POST request with a JSON body; not repeatable. */
  public static HttpCall postJson(
      InetSocketAddress address, String uri, String body, Duration timeout) {
    Map<String, String> headers = Map.of(CONTENT_TYPE, JSON);
    return new HttpCall(address, HttpMethod.POST, uri, headers, bytesOf(body), timeout, false);
  }

  /** Returns a POST request with a binary body; not repeatable. */
  public static HttpCall postBytes(
      InetSocketAddress address, String uri, ByteBuffer body, Duration timeout) {
    Map<String, String> headers = Map.of(CONTENT_TYPE, OCTETS);
    return new HttpCall(address, HttpMethod.POST, uri, headers, Optional.of(body), timeout, false);
  }

  /** Returns a DELETE request; repeatable. */
  public static HttpCall delete(InetSocketAddress address, String uri, Duration timeout) {
    return new HttpCall(address, HttpMethod.DELETE, uri, Map.of(), Optional.empty(), timeout, true);
  }

  /** Returns this request with the given content type and headers in place of its own headers. */
  public HttpCall withHeaders(String contentType, Map<String, String> further) {
    Map<String, String> all = new LinkedHashMap<>(further);
    all.put(CONTENT_TYPE, contentType);
    return new HttpCall(address, method, uri, all, body, timeout, isRepeatable, responseHeader);
  }

  /** Returns this request with the name of a header to report with the response. */
  public HttpCall withResponseHeader(String name) {
    return new HttpCall(
        address, method, uri, headers, body, timeout, isRepeatable, Optional.of(name));
  }

  /** Returns a body with the text in UTF-8. */
  public static Optional<ByteBuffer> bytesOf(String text) {
    return Optional.of(ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)));
  }
}
