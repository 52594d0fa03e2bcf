package org.shallothook.transport.caller;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.shallothook.coordination.router.RouterCommand;
import org.shallothook.coordination.router.RouterEvent;
import org.shallothook.protocol.caller.CallerHeaders;
import org.shallothook.protocol.caller.ChatResponseWriter;
import org.shallothook.protocol.caller.ErrorResponseWriter;
import org.shallothook.protocol.caller.ModelListWriter;
import org.shallothook.state.request.Refusal;
import org.shallothook.state.request.RequestId;
import org.shallothook.transport.Channels;
import org.shallothook.transport.logging.LogComponent;

/**
 * Writes the response to one request of a caller.
 *
 * <p>Invariant: tokens are written in order without gaps; the end marker of a stream is written
 * only if the answer is complete; a response ends once. Confined to the event loop of its
 * connection.
 */
final class CallerExchange {
  private static final long MICROS_PER_SECOND = 1_000_000;

  private final CallerContext context;
  private final SocketChannel channel;
  private final RequestId id;
  private final CallerRequest request;
  private final Optional<RouterEvent.ChatRequested> chat;
  private final ChatResponseWriter form;
  private final BooleanSupplier hasQueued;
  private final Consumer<Boolean> onEnd;
  private final StringBuilder completeText = new StringBuilder();
  private int position;
  private boolean hasHead;
  private boolean hasEnded;
  private boolean isLast;

  /**
   * Creates an exchange that has not written anything yet.
   *
   * @param context state shared by all caller connections
   * @param channel channel of the caller's connection
   * @param id identifier of the request
   * @param request the request
   * @param event event for the decision thread; empty if the request is refused without one
   * @param hasQueued whether further requests were read on the connection, or have to be refused
   * @param onEnd called after the last byte is passed to the channel; the argument is whether the
   *     connection is closed after this response
   */
  CallerExchange(
      CallerContext context,
      SocketChannel channel,
      RequestId id,
      CallerRequest request,
      Optional<RouterEvent> event,
      BooleanSupplier hasQueued,
      Consumer<Boolean> onEnd) {
    this.context = context;
    this.channel = channel;
    this.id = id;
    this.request = request;
    this.hasQueued = hasQueued;
    this.onEnd = onEnd;
    this.chat =
        event
            .filter(RouterEvent.ChatRequested.class::isInstance)
            .map(RouterEvent.ChatRequested.class::cast);
    String model = chat.map(RouterEvent.ChatRequested::model).orElse("");
    this.form = new ChatResponseWriter(id, model, request.receivedAtMicros() / MICROS_PER_SECOND);
  }

  RequestId id() {
    return id;
  }

  SocketChannel channel() {
    return channel;
  }

  boolean hasEnded() {
    return hasEnded;
  }

  /** Marks the exchange as ended without a response, because its caller has disconnected. */
  void abandon() {
    hasEnded = true;
  }

  void sendTokens(RouterCommand.SendTokens tokens) {
    if (hasEnded || !channel.isActive()) {
      return;
    }
    if (tokens.position() != position) {
      closeOutOfOrder(tokens);
      return;
    }
    if (position == 0) {
      recordFirstToken();
    }
    position += tokens.count();
    if (isStreaming()) {
      streamText(tokens.text());
    } else {
      completeText.append(tokens.text());
      reportConsumedTokens(position);
    }
  }

  void complete(RouterCommand.CompleteAnswer answer) {
    if (hasEnded) {
      return;
    }
    if (answer.tokens() != position) {
      LogComponent.CALLER.warn(
          "Request {} was completed with {} of {} tokens; its connection is closed.",
          id,
          position,
          answer.tokens());
      context.metrics().increment("caller.incomplete");
      Channels.close(channel);
      return;
    }
    if (isStreaming()) {
      String ending =
          form.finalChunk(answer.finishReason(), answer.tokens(), answer.cachedTokens());
      writeHead();
      writeText(ending + ChatResponseWriter.END_OF_STREAM);
      endStream();
    } else {
      String body =
          form.unstreamedBody(
              completeText.toString(),
              answer.finishReason(),
              answer.tokens(),
              answer.cachedTokens());
      writeFullResponse(FullResponse.ok(body), Optional.empty());
    }
  }

  void answerCall(RouterCommand.AnswerCall answer) {
    FullResponse response =
        FullResponse.ofService(answer.status(), answer.contentType(), answer.body());
    writeFullResponse(response, Optional.empty());
  }

  void answerModels(RouterCommand.AnswerModels answer) {
    writeFullResponse(FullResponse.ok(ModelListWriter.body(answer.models())), Optional.empty());
  }

  void refuse(Refusal refusal) {
    if (hasEnded) {
      return;
    }
    if (hasHead) {
      writeText(ChatResponseWriter.errorEvent(id, refusal));
      endStream();
      return;
    }
    writeFullResponse(FullResponse.of(id, refusal), refusal.retryAtMicros());
  }

  private boolean isStreaming() {
    return chat.filter(RouterEvent.ChatRequested::isStreaming).isPresent();
  }

  private void recordFirstToken() {
    context.metrics().recordTimeToFirstToken(context.nowMicros() - request.receivedAtMicros());
  }

  private void closeOutOfOrder(RouterCommand.SendTokens tokens) {
    LogComponent.CALLER.warn(
        "Request {} expected the token at position {}, got {}; its connection is closed.",
        id,
        position,
        tokens.position());
    context.metrics().increment("caller.out-of-order");
    Channels.close(channel);
  }

  private void streamText(String text) {
    if (channel.bytesBeforeUnwritable() == 0) {
      LogComponent.CALLER.debug(
          "The write buffer of request {} is full; its connection is closed.", id);
      context.metrics().increment("caller.write-buffer-full");
      Channels.close(channel);
      return;
    }
    writeHead();
    int written = position;
    channel
        .writeAndFlush(new DefaultHttpContent(bytesOf(form.textChunk(text))))
        .addListener(
            done -> {
              if (done.isSuccess()) {
                reportConsumedTokens(written);
              }
            });
  }

  private void reportConsumedTokens(int tokens) {
    if (!hasEnded) {
      context.events().deliver(new RouterEvent.CallerConsumed(id, tokens));
    }
  }

  private void writeHead() {
    if (hasHead) {
      return;
    }
    hasHead = true;
    HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.OK);
    head.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/event-stream; charset=utf-8");
    head.headers().set(HttpHeaderNames.CACHE_CONTROL, HttpHeaderValues.NO_CACHE);
    head.headers().set(CallerHeaders.REQUEST_ID, id.value());
    if (request.supportsChunkedEncoding()) {
      HttpUtil.setTransferEncodingChunked(head, true);
    }
    if (decideLastResponse()) {
      head.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
    Channels.write(channel, head);
    writeText(form.firstChunk());
  }

  private void writeText(String text) {
    Channels.writeAndFlush(channel, new DefaultHttpContent(bytesOf(text)));
  }

  private void endStream() {
    Channels.writeAndFlush(channel, LastHttpContent.EMPTY_LAST_CONTENT);
    onResponseWritten(isLast);
  }

  private void writeFullResponse(FullResponse response, Optional<Long> retryAtMicros) {
    if (hasEnded) {
      return;
    }
    FullHttpResponse httpResponse = response.toHttp(id, decideLastResponse(), channel.alloc());
    retryAtMicros.ifPresent(
        at -> httpResponse.headers().set(HttpHeaderNames.RETRY_AFTER, retryAfterSeconds(at)));
    Channels.writeAndFlush(channel, httpResponse);
    onResponseWritten(isLast);
  }

  private long retryAfterSeconds(long retryAtMicros) {
    return ErrorResponseWriter.retryAfterSeconds(retryAtMicros, context.nowMicros());
  }

  private void onResponseWritten(boolean endsConnection) {
    hasEnded = true;
    if (endsConnection) {
      Channels.closeAfterWrites(channel);
    }
    onEnd.accept(endsConnection);
  }

  /** Decides, as the response begins, whether its caller is told that it is the last one. */
  private boolean decideLastResponse() {
    isLast =
        !request.isKeepAlive()
            || !request.supportsChunkedEncoding()
            || (context.isClosing() && !hasQueued.getAsBoolean());
    return isLast;
  }

  private ByteBuf bytesOf(String text) {
    return ByteBufUtil.writeUtf8(channel.alloc(), text);
  }
}
