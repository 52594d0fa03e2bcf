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
 * @param acceptsEarlierAnswer whether an answer to an earlier call with the same request line does
 *     no harm; then a connection may be used again, where a server that answers twice gives such an
 *     answer, and where the call fails if the server is just closing the connection
 * @param responseHeader name of a header to report with a buffered response, if any
 */
public record HttpCall(
    InetSocketAddress address,
    HttpMethod method,
    String uri,
    Map<String, String> headers,
    Optional<ByteBuffer> body,
    Duration timeout,
    boolean acceptsEarlierAnswer,
    Optional<String> responseHeader) {
  private static final String CONTENT_TYPE = "content-type";
  private static final String JSON = "application/json";
  private static final String OCTETS = "application/octet-stream";

  public HttpCall {
    Objects.requireNonNull(address, "address");
    headers = Map.copyOf(headers);
  }

  /** What a response on a connection that is used again may belong to. */
  record RequestLine(InetSocketAddress address, HttpMethod method, String uri) {}

  /** Creates a call on a connection of its own that asks for no header of the response. */
  public HttpCall(
      InetSocketAddress address,
      HttpMethod method,
      String uri,
      Map<String, String> headers,
      Optional<ByteBuffer> body,
      Duration timeout) {
    this(address, method, uri, headers, body, timeout, false, Optional.empty());
  }

  /** Returns a GET request. */
  public static HttpCall get(InetSocketAddress address, String uri, Duration timeout) {
    return new HttpCall(address, HttpMethod.GET, uri, Map.of(), Optional.empty(), timeout);
  }

  /** Returns a POST request with a JSON body. */
  public static HttpCall postJson(
      InetSocketAddress address, String uri, String body, Duration timeout) {
    Map<String, String> headers = Map.of(CONTENT_TYPE, JSON);
    return new HttpCall(address, HttpMethod.POST, uri, headers, bytesOf(body), timeout);
  }

  /** Returns a POST request with a binary body. */
  public static HttpCall postBytes(
      InetSocketAddress address, String uri, ByteBuffer body, Duration timeout) {
    Map<String, String> headers = Map.of(CONTENT_TYPE, OCTETS);
    return new HttpCall(address, HttpMethod.POST, uri, headers, Optional.of(body), timeout);
  }

  /** Returns a DELETE request. */
  public static HttpCall delete(InetSocketAddress address, String uri, Duration timeout) {
    return new HttpCall(address, HttpMethod.DELETE, uri, Map.of(), Optional.empty(), timeout);
  }

  /** Returns this request with the given content type and headers in place of its own headers. */
  public HttpCall withHeaders(String contentType, Map<String, String> further) {
    Map<String, String> all = new LinkedHashMap<>(further);
    all.put(CONTENT_TYPE, contentType);
    return new HttpCall(
        address, method, uri, all, body, timeout, acceptsEarlierAnswer, responseHeader);
  }

  /** Returns this request on a connection that may be used again. */
  public HttpCall acceptingEarlierAnswer() {
    return new HttpCall(address, method, uri, headers, body, timeout, true, responseHeader);
  }

  /** Returns this request with the name of a header to report with the response. */
  public HttpCall withResponseHeader(String name) {
    return new HttpCall(
        address, method, uri, headers, body, timeout, acceptsEarlierAnswer, Optional.of(name));
  }

  RequestLine requestLine() {
    return new RequestLine(address, method, uri);
  }

  /** Returns a body with the text in UTF-8. */
  public static Optional<ByteBuffer> bytesOf(String text) {
    return Optional.of(ByteBuffer.wrap(text.getBytes(StandardCharsets.UTF_8)));
  }
}
