package org.shallothook.transport.platform;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
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
 * #cancel}. A response that ends with the connection is complete only if its request was completely
 * written before, as the end may be that of a reset which a write has noticed first. Used only on
 * the client's event loop.
 */
final class HttpExchange extends SimpleChannelInboundHandler<HttpObject> {
  private static final int MINIMUM_FINAL_STATUS = 200;
  private static final int MAXIMUM_FINAL_STATUS = 599;

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
  private boolean isRequestWritten;
  private boolean endsWithConnection;

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

  /** Records that the request was completely written. */
  void onRequestWritten() {
    isRequestWritten = true;
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
      int status = head.status().code();
      if (status < MINIMUM_FINAL_STATUS || status > MAXIMUM_FINAL_STATUS) {
        fail(true, "the status of the response is not valid");
        return;
      }
      isKeepAlive = HttpUtil.isKeepAlive(head);
      endsWithConnection = endsWithConnection(head);
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
    boolean isLast = content instanceof LastHttpContent;
    if (isLast && endsWithConnection && !isRequestWritten) {
      fail(true, "the connection ended before the request was written");
      return;
    }
    if (content.content().isReadable()) {
      handler.received(content.content().nioBuffer());
    }
    if (isLast && !hasEnded) {
      end(context.channel());
    }
  }

  /** Returns whether the body of a response ends where its connection is closed. */
  private boolean endsWithConnection(HttpResponse head) {
    boolean isFramed =
        HttpUtil.isContentLengthSet(head) || HttpUtil.isTransferEncodingChunked(head);
    boolean hasBody =
        !HttpMethod.HEAD.equals(call.method())
            && !HttpResponseStatus.NO_CONTENT.equals(head.status())
            && !HttpResponseStatus.NOT_MODIFIED.equals(head.status());
    return hasBody && !isFramed;
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
