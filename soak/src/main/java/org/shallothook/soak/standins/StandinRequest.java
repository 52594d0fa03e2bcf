package org.shallothook.soak.standins;

import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

/**
 * A request to a stand-in. Responses are written unchecked, so that they can also be malformed.
 *
 * <p>Invariant: the request has been read completely. Used only on the event loop of the stand-ins.
 */
final class StandinRequest {
  private final ChannelHandlerContext context;
  private final String method;
  private final QueryStringDecoder target;
  private final Map<String, String> headers;
  private final byte[] body;

  StandinRequest(ChannelHandlerContext context, FullHttpRequest request) {
    this.context = context;
    this.method = request.method().name();
    this.target = new QueryStringDecoder(request.uri());
    this.headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
    request.headers().forEach(header -> headers.put(header.getKey(), header.getValue()));
    this.body = ByteBufUtil.getBytes(request.content());
  }

  boolean is(String expectedMethod, String path) {
    return method.equals(expectedMethod) && target.path().equals(path);
  }

  String path() {
    return target.path();
  }

  String query(String name) {
    return target.parameters().getOrDefault(name, List.of("")).get(0);
  }

  Optional<String> header(String name) {
    return Optional.ofNullable(headers.get(name));
  }

  byte[] body() {
    return body;
  }

  boolean isOpen() {
    return context.channel().isActive();
  }

  /** Writes a complete response. */
  void respond(int status, Map<String, String> extraHeaders, byte[] responseBody) {
    StringBuilder head = head(status, extraHeaders);
    head.append("Content-Length: ").append(responseBody.length).append("\r\n\r\n");
    byte[] headBytes = head.toString().getBytes(StandardCharsets.ISO_8859_1);
    var unused = context.writeAndFlush(Unpooled.wrappedBuffer(headBytes, responseBody));
  }

  /** Writes a complete response with a JSON body. */
  void respondJson(int status, Object document) {
    respond(
        status,
        Map.of("Content-Type", "application/json"),
        document.toString().getBytes(StandardCharsets.UTF_8));
  }

  /** Writes raw text to the connection. */
  void write(String text) {
    var unused = context.writeAndFlush(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
  }

  /** Returns whether the connection's write buffer is below its limit. */
  boolean isWritable() {
    return context.channel().isWritable();
  }

  void close() {
    var unused = context.close();
  }

  /** Closes the connection with a TCP reset. */
  void reset() {
    context.channel().config().setOption(ChannelOption.SO_LINGER, 0);
    close();
  }

  void schedule(long millis, Runnable task) {
    var unused = context.executor().schedule(task, millis, TimeUnit.MILLISECONDS);
  }

  static StringBuilder head(int status, Map<String, String> headers) {
    StringBuilder head = new StringBuilder("HTTP/1.1 ").append(status).append(" Status\r\n");
    headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
    return head;
  }
}
