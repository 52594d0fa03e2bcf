package org.shallothook.transport.platform;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.HttpContent;
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
 * One request on one connection, from connecting to the end of the response.
 *
 * <p>Invariant: the handler is notified of the end exactly once, or not at all after {@link
 * #cancel}. Used only on the client's event loop.
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
  private boolean isKeepAlive;
  private boolean isInformational;

  /**
   * Creates an exchange without a connection.
   *
   * @param call request to send
   * @param handler receives the response
   * @param isStream whether the timeout restarts with each part of the body
   * @param reuse called when the connection may be used for another request
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

  /** Sets the connection that the request is about to be written to. */
  void attach(Channel connected) {
    channel = Optional.of(connected);
    connected.config().setAutoRead(!isPaused);
    startTimeout(connected);
  }

  /** Ends the exchange without notifying the handler, and closes its connection. */
  void cancel() {
    hasEnded = true;
    stopTimeout();
    channel.ifPresent(Channels::close);
  }

  /** Pauses or resumes reading the response; the timeout does not run during a pause. */
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

  /** Fails the exchange after the request may have been sent, such as for an invalid response. */
  void failAfterSending(String detail) {
    fail(true, detail);
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
    if (hasEnded) {
      return;
    }
    if (message.decoderResult().isFailure()) {
      fail(true, "the response is not valid HTTP");
      return;
    }
    if (message instanceof HttpResponse head) {
      isInformational = head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    }
    if (isInformational) {
      return;
    }
    if (message instanceof HttpResponse head) {
      isKeepAlive = HttpUtil.isKeepAlive(head);
      handler.started(head.status().code(), head.headers());
    }
    if (message instanceof HttpContent content && !hasEnded) {
      receive(context, content);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    fail(true, "the connection was closed before the end of the response");
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
    if (isKeepAlive && !isStream && call.acceptsEarlierAnswer()) {
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
                      () -> fail(true, "the request timed out"),
                      call.timeout().toMillis(),
                      TimeUnit.MILLISECONDS));
    }
  }

  private void stopTimeout() {
    timeout.ifPresent(running -> running.cancel(false));
    timeout = Optional.empty();
  }
}
