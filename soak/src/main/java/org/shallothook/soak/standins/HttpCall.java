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
 * One call to a stand-in. Answers are written as they are given, so that they may also be wrong.
 *
 * <p>Invariant: the whole request was read before the call is handled. Used on the stand-ins' loop
 * alone.
 */
final class HttpCall {
  private final ChannelHandlerContext context;
  private final String method;
  private final QueryStringDecoder target;
  private final Map<String, String> headers;
  private final byte[] body;

  HttpCall(ChannelHandlerContext context, FullHttpRequest request) {
    this.context = context;
    this.method = request.method().name();
    this.target = new QueryStringDecoder(request.uri());
    this.headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
    request.headers().forEach(header -> headers.put(header.getKey(), header.getValue()));
    this.body = ByteBufUtil.getBytes(request.content());
  }

  boolean is(String wantedMethod, String path) {
    return method.equals(wantedMethod) && target.path().equals(path);
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

  /** Answers with a whole body. */
  void answer(int status, Map<String, String> extraHeaders, byte[] answerBody) {
    StringBuilder head = head(status, extraHeaders);
    head.append("Content-Length: ").append(answerBody.length).append("\r\n\r\n");
    byte[] headBytes = head.toString().getBytes(StandardCharsets.ISO_8859_1);
    var unused = context.writeAndFlush(Unpooled.wrappedBuffer(headBytes, answerBody));
  }

  /** Answers with a whole body of JSON. */
  void answerJson(int status, Object document) {
    answer(
        status,
        Map.of("Content-Type", "application/json"),
        document.toString().getBytes(StandardCharsets.UTF_8));
  }

  /** Writes text as it is. */
  void write(String text) {
    var unused = context.writeAndFlush(Unpooled.copiedBuffer(text, StandardCharsets.ISO_8859_1));
  }

  /** Returns whether what was written has left for the other side. */
  boolean isWritable() {
    return context.channel().isWritable();
  }

  void close() {
    var unused = context.close();
  }

  /** Closes the connection so that the other side sees a reset. */
  void reset() {
    context.channel().config().setOption(ChannelOption.SO_LINGER, 0);
    close();
  }

  void after(long millis, Runnable task) {
    var unused = context.executor().schedule(task, millis, TimeUnit.MILLISECONDS);
  }

  static StringBuilder head(int status, Map<String, String> headers) {
    StringBuilder head = new StringBuilder("HTTP/1.1 ").append(status).append(" Status\r\n");
    headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
    return head;
  }
}
