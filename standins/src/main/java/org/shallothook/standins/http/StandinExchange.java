package org.shallothook.standins.http;

import com.google.gson.JsonElement;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Stream;

/**
 * One HTTP request and its answer.
 *
 * <p>Invariant: answered at most once. Confined to its event loop.
 */
public final class StandinExchange {
  private final Channel channel;
  private final HttpMethod method;
  private final List<String> segments;
  private final QueryStringDecoder query;
  private final HttpHeaders headers;
  private final String body;
  private boolean losesAnswer;
  private long delayMicros;
  private Runnable onClosed = () -> {};
  private Consumer<Boolean> onWritable = isWritable -> {};

  StandinExchange(Channel channel, FullHttpRequest request) {
    this.channel = channel;
    method = request.method();
    query = new QueryStringDecoder(request.uri());
    segments = Stream.of(query.path().split("/")).filter(part -> !part.isEmpty()).toList();
    headers = request.headers().copy();
    body = request.content().toString(StandardCharsets.UTF_8);
  }

  /** Returns whether method and path are these; {@code *} stands for any one segment. */
  public boolean is(String wantedMethod, String... path) {
    if (!method.name().equals(wantedMethod) || path.length != segments.size()) {
      return false;
    }
    for (int index = 0; index < path.length; index++) {
      if (!path[index].equals("*") && !path[index].equals(segments.get(index))) {
        return false;
      }
    }
    return true;
  }

  /** Returns the name of the method. */
  public String method() {
    return method.name();
  }

  /** Returns whether the request may change anything. */
  public boolean hasEffect() {
    return !method.equals(HttpMethod.GET) && !method.equals(HttpMethod.HEAD);
  }

  /** Returns one segment of the path. */
  public String segment(int index) {
    return segments.get(index);
  }

  /** Returns the path without its leading slash. */
  public String path() {
    return String.join("/", segments);
  }

  /** Returns a parameter of the query, if it is given. */
  public Optional<String> parameter(String name) {
    return Optional.ofNullable(query.parameters().get(name)).map(values -> values.get(0));
  }

  /** Returns a number from the query, or the fallback where it is not given. */
  public long number(String name, long fallback) {
    return parameter(name).map(Long::parseLong).orElse(fallback);
  }

  /** Returns a header, if it is sent. */
  public Optional<String> header(String name) {
    return Optional.ofNullable(headers.get(name));
  }

  /** Returns the body. */
  public String body() {
    return body;
  }

  /** Makes the connection close in place of the answer. */
  void loseAnswer() {
    losesAnswer = true;
  }

  /** Delays the answer. */
  void delayBy(long microseconds) {
    delayMicros = microseconds;
  }

  /** Answers with a JSON body. */
  public void answer(int status, JsonElement json) {
    answer(status, "application/json", json.toString().getBytes(StandardCharsets.UTF_8));
  }

  /** Answers without a body. */
  public void answer(int status) {
    answer(status, "application/json", new byte[0]);
  }

  /** Answers with a body of any type. */
  public void answer(int status, String contentType, byte[] content) {
    DefaultFullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(status),
            method.equals(HttpMethod.HEAD)
                ? Unpooled.EMPTY_BUFFER
                : Unpooled.wrappedBuffer(content));
    if (status != HttpResponseStatus.NO_CONTENT.code()
        && status != HttpResponseStatus.NOT_MODIFIED.code()) {
      response.headers().set(HttpHeaderNames.CONTENT_TYPE, contentType);
      response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, content.length);
    }
    later(() -> write(response));
  }

  private void later(Runnable action) {
    if (delayMicros == 0) {
      action.run();
      return;
    }
    var unused = channel.eventLoop().schedule(action, delayMicros, TimeUnit.MICROSECONDS);
  }

  private void write(Object message) {
    if (losesAnswer) {
      drop();
      return;
    }
    var unused = channel.writeAndFlush(message, channel.voidPromise());
  }

  /** Begins an answer of events. */
  public void beginEvents() {
    HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
    response.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/event-stream");
    response.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
    write(response);
  }

  /** Sends one event. */
  public void event(String data) {
    ByteBuf content = Unpooled.copiedBuffer("data: " + data + "\n\n", StandardCharsets.UTF_8);
    write(new DefaultHttpContent(content));
  }

  /** Ends an answer of events. */
  public void endEvents() {
    onClosed = () -> {};
    onWritable = isWritable -> {};
    write(LastHttpContent.EMPTY_LAST_CONTENT);
  }

  /** Closes the connection. */
  public void drop() {
    onClosed = () -> {};
    var unused =
        channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
  }

  /** Runs an action when the other side closes the connection before the answer has ended. */
  public void whenClosed(Runnable action) {
    onClosed = action;
  }

  /** Tells an action whether the connection takes more data. */
  public void whenWritable(Consumer<Boolean> action) {
    onWritable = action;
  }

  void closed() {
    onClosed.run();
  }

  void writabilityChanged() {
    onWritable.accept(channel.isWritable());
  }
}
