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
import java.util.function.Consumer;
import org.shallothook.coordination.router.RouterCommand;
import org.shallothook.coordination.router.RouterEvent;
import org.shallothook.protocol.caller.CallerHeaders;
import org.shallothook.protocol.caller.ChatAnswerForm;
import org.shallothook.protocol.caller.ErrorForm;
import org.shallothook.protocol.caller.ModelListForm;
import org.shallothook.state.request.Refusal;
import org.shallothook.state.request.RequestId;
import org.shallothook.transport.Channels;
import org.shallothook.transport.logging.LogComponent;

/**
 * Writes the answer to one request of a caller.
 *
 * <p>Invariant: tokens are written in order without a gap; a stream ends with its end marker only
 * when the answer is complete; an answer ends once. Used on the loop of its connection alone.
 */
final class CallerExchange {
  private static final long MICROS_PER_SECOND = 1_000_000;

  private final CallerContext context;
  private final SocketChannel channel;
  private final RequestId id;
  private final CallerRequest request;
  private final Optional<RouterEvent.ChatRequested> chat;
  private final ChatAnswerForm form;
  private final Consumer<Boolean> onEnd;
  private final StringBuilder whole = new StringBuilder();
  private int position;
  private boolean hasHead;
  private boolean hasEnded;

  /**
   * Creates an exchange that has written nothing.
   *
   * @param context what connections share
   * @param channel connection of the caller
   * @param id identifier of the request
   * @param request the request
   * @param event event that the request became, if it could be read
   * @param onEnd called once the last byte is handed to the connection, with whether the connection
   *     ends with it
   */
  CallerExchange(
      CallerContext context,
      SocketChannel channel,
      RequestId id,
      CallerRequest request,
      Optional<RouterEvent> event,
      Consumer<Boolean> onEnd) {
    this.context = context;
    this.channel = channel;
    this.id = id;
    this.request = request;
    this.onEnd = onEnd;
    this.chat =
        event
            .filter(RouterEvent.ChatRequested.class::isInstance)
            .map(RouterEvent.ChatRequested.class::cast);
    String model = chat.map(RouterEvent.ChatRequested::model).orElse("");
    this.form = new ChatAnswerForm(id, model, request.receivedAtMicros() / MICROS_PER_SECOND);
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

  /** Marks the exchange as ended without an answer, because its caller is gone. */
  void abandon() {
    hasEnded = true;
  }

  void sendTokens(RouterCommand.SendTokens tokens) {
    if (hasEnded || !channel.isActive()) {
      return;
    }
    if (tokens.position() != position) {
      failOrder(tokens);
      return;
    }
    if (position == 0) {
      recordFirstToken();
    }
    position += tokens.count();
    if (isStreaming()) {
      stream(tokens.text());
    } else {
      whole.append(tokens.text());
      reportConsumed(position);
    }
  }

  void complete(RouterCommand.CompleteAnswer answer) {
    if (hasEnded) {
      return;
    }
    if (answer.tokens() != position) {
      LogComponent.CALLER.warn("{} has {} of {} tokens.", id, position, answer.tokens());
      context.metrics().increment("caller.incomplete");
      Channels.close(channel);
      return;
    }
    if (isStreaming()) {
      String ending = form.ending(answer.finishReason(), answer.tokens(), answer.cachedTokens());
      writeHead();
      writeText(ending + ChatAnswerForm.END_OF_STREAM);
      endStream();
    } else {
      String body =
          form.whole(
              whole.toString(), answer.finishReason(), answer.tokens(), answer.cachedTokens());
      answerWhole(WholeResponse.ok(body), Optional.empty());
    }
  }

  void answerCall(RouterCommand.AnswerCall answer) {
    WholeResponse response =
        WholeResponse.ofService(answer.status(), answer.contentType(), answer.body());
    answerWhole(response, Optional.empty());
  }

  void answerModels(RouterCommand.AnswerModels answer) {
    answerWhole(WholeResponse.ok(ModelListForm.body(answer.models())), Optional.empty());
  }

  void refuse(Refusal refusal) {
    if (hasEnded) {
      return;
    }
    if (hasHead) {
      writeText(ChatAnswerForm.failure(id, refusal));
      endStream();
      return;
    }
    answerWhole(WholeResponse.of(id, refusal), refusal.retryAtMicros());
  }

  private boolean isStreaming() {
    return chat.filter(RouterEvent.ChatRequested::isStreaming).isPresent();
  }

  private void recordFirstToken() {
    context.metrics().recordTimeToFirstToken(context.nowMicros() - request.receivedAtMicros());
  }

  private void failOrder(RouterCommand.SendTokens tokens) {
    LogComponent.CALLER.warn("{} expected token {}, got {}.", id, position, tokens.position());
    context.metrics().increment("caller.out-of-order");
    Channels.close(channel);
  }

  private void stream(String text) {
    if (channel.bytesBeforeUnwritable() == 0) {
      LogComponent.CALLER.debug("{} does not read; its connection is closed.", id);
      context.metrics().increment("caller.write-buffer-full");
      Channels.close(channel);
      return;
    }
    writeHead();
    int written = position;
    channel
        .writeAndFlush(new DefaultHttpContent(bytesOf(form.text(text))))
        .addListener(
            done -> {
              if (done.isSuccess()) {
                reportConsumed(written);
              }
            });
  }

  private void reportConsumed(int taken) {
    if (!hasEnded) {
      context.events().deliver(new RouterEvent.CallerConsumed(id, taken));
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
    if (request.takesChunks()) {
      HttpUtil.setTransferEncodingChunked(head, true);
    }
    if (endsConnection()) {
      head.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
    Channels.write(channel, head);
    writeText(form.opening());
  }

  private void writeText(String text) {
    Channels.writeAndFlush(channel, new DefaultHttpContent(bytesOf(text)));
  }

  private void endStream() {
    Channels.writeAndFlush(channel, LastHttpContent.EMPTY_LAST_CONTENT);
    finish(endsConnection());
  }

  private void answerWhole(WholeResponse response, Optional<Long> retryAtMicros) {
    if (hasEnded) {
      return;
    }
    boolean isLast = endsConnection();
    FullHttpResponse answer = response.toHttp(id, isLast, channel.alloc());
    retryAtMicros.ifPresent(
        at -> answer.headers().set(HttpHeaderNames.RETRY_AFTER, retryAfter(at)));
    Channels.writeAndFlush(channel, answer);
    finish(isLast);
  }

  private long retryAfter(long retryAtMicros) {
    return ErrorForm.retryAfterSeconds(retryAtMicros, context.nowMicros());
  }

  private void finish(boolean isLast) {
    hasEnded = true;
    if (isLast) {
      Channels.closeAfterWrites(channel);
    }
    onEnd.accept(isLast);
  }

  private boolean endsConnection() {
    return context.isClosing() || !request.isKeepAlive() || !request.takesChunks();
  }

  private ByteBuf bytesOf(String text) {
    return ByteBufUtil.writeUtf8(channel.alloc(), text);
  }
}
