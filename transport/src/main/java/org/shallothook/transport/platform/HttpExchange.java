package org.shallothook.transport.platform;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.shallothook.transport.Channels;

/**
 * One call on one connection, from its first byte to the end of its answer.
 *
 * <p>Invariant: the handler hears of exactly one end, none after {@link #cancel}. Used on the loop
 * of the client alone.
 */
final class HttpExchange extends SimpleChannelInboundHandler<HttpObject> {
  private final HttpCall call;
  private final HttpStreamHandler handler;
  private final boolean isStream;
  private final Consumer<HttpExchange> reuse;
  private Optional<Channel> channel = Optional.empty();
  private Optional<ScheduledFuture<?>> timeout = Optional.empty();
  private boolean hasEnded;
  private boolean isPaused;
  private boolean mayReuse;
  private boolean isInformational;

  /**
   * Creates an exchange without a connection.
   *
   * @param call what is sent
   * @param handler takes the answer
   * @param isStream whether the timeout starts anew with each part
   * @param reuse called when the connection may carry the next call
   */
  HttpExchange(
      HttpCall call, HttpStreamHandler handler, boolean isStream, Consumer<HttpExchange> reuse) {
    this.call = call;
    this.handler = handler;
    this.isStream = isStream;
    this.reuse = reuse;
  }

  HttpCall call() {
    return call;
  }

  Optional<Channel> channel() {
    return channel;
  }

  boolean hasEnded() {
    return hasEnded;
  }

  /** Takes the connection that the call is about to be written to. */
  void attach(Channel connected) {
    channel = Optional.of(connected);
    connected.config().setAutoRead(!isPaused);
    startTimeout(connected);
  }

  /** Ends the call without telling the handler, and closes its connection. */
  void cancel() {
    hasEnded = true;
    stopTimeout();
    channel.ifPresent(Channels::close);
  }

  /** Stops or restarts reading the answer. */
  void pause(boolean shouldPause) {
    isPaused = shouldPause;
    channel.ifPresent(
        open -> {
          open.config().setAutoRead(!shouldPause);
          startTimeout(open);
        });
  }

  void failBeforeSending(String detail) {
    fail(false, detail);
  }

  /** Ends the call because of what the answer holds. */
  void failAfterSending(String detail) {
    fail(true, detail);
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, HttpObject part) {
    if (hasEnded) {
      return;
    }
    if (part.decoderResult().isFailure()) {
      fail(true, "the answer is not HTTP");
      return;
    }
    if (part instanceof HttpResponse head) {
      isInformational = head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    }
    if (isInformational) {
      return;
    }
    if (part instanceof HttpResponse head) {
      mayReuse = HttpUtil.isKeepAlive(head);
      String contentType = head.headers().get(HttpHeaderNames.CONTENT_TYPE, "");
      handler.started(head.status().code(), contentType);
    }
    if (part instanceof HttpContent content && !hasEnded) {
      receive(context, content);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    fail(true, "the connection was lost");
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    fail(true, String.valueOf(cause.getMessage()));
    Channels.close(context);
  }

  private void receive(ChannelHandlerContext context, HttpContent content) {
    if (isStream) {
      startTimeout(context.channel());
    }
    if (content.content().isReadable()) {
      handler.received(content.content().nioBuffer());
    }
    if (content instanceof LastHttpContent && !hasEnded) {
      end(context.channel());
    }
  }

  private void end(Channel open) {
    hasEnded = true;
    stopTimeout();
    if (mayReuse && !isStream) {
      reuse.accept(this);
    } else {
      Channels.close(open);
    }
    handler.ended();
  }

  private void fail(boolean wasSent, String detail) {
    if (!hasEnded) {
      hasEnded = true;
      stopTimeout();
      channel.ifPresent(Channels::close);
      handler.failed(wasSent, detail);
    }
  }

  private void startTimeout(Channel open) {
    stopTimeout();
    if (!isPaused && !hasEnded) {
      timeout =
          Optional.of(
              open.eventLoop()
                  .schedule(
                      () -> fail(true, "no answer in time"),
                      call.timeout().toMillis(),
                      TimeUnit.MILLISECONDS));
    }
  }

  private void stopTimeout() {
    timeout.ifPresent(running -> running.cancel(false));
    timeout = Optional.empty();
  }
}
