package org.shallothook.transport.caller;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.timeout.IdleState;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.util.concurrent.ScheduledFuture;
import io.vavr.control.Either;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.shallothook.coordination.router.RouterEvent;
import org.shallothook.state.request.Refusal;
import org.shallothook.state.request.RefusalReason;
import org.shallothook.state.request.RequestId;
import org.shallothook.transport.Channels;
import org.shallothook.transport.logging.LogComponent;

/**
 * A caller connection: receives requests and runs them one after the other.
 *
 * <p>Invariant: at most one body is being received, and its size is bounded; reading is paused
 * while a complete request waits for the response to an earlier one. Confined to the connection's
 * event loop.
 */
final class CallerConnection extends SimpleChannelInboundHandler<HttpObject> {
  private static final long OVERLOAD_RETRY_MICROS = 1_000_000;
  private static final int MAXIMUM_DISCARDED_BODIES = 16;

  private final CallerContext context;
  private final Deque<CallerRequest> queued = new ArrayDeque<>();
  private ChannelHandlerContext channel;
  private Optional<CallerExchange> current = Optional.empty();
  private Optional<ScheduledFuture<?>> requestTimeout = Optional.empty();
  private Optional<HttpRequest> head = Optional.empty();
  private ByteArrayOutputStream body = new ByteArrayOutputStream(0);
  private long discardedBytes;
  private int reservedBytes;
  private Optional<Refusal> refusalBehind = Optional.empty();
  private boolean isDiscarding;
  private boolean isClosing;

  CallerConnection(CallerContext context) {
    this.context = context;
  }

  /**
   * Closes the connection if no request is open, queued or being received. Otherwise it is closed
   * after its current response, because the context is closing.
   */
  void closeWhenIdle() {
    if (!isClosing && current.isEmpty() && head.isEmpty() && queued.isEmpty()) {
      isClosing = true;
      Channels.closeAfterWrites(socket());
    }
  }

  @Override
  public void channelActive(ChannelHandlerContext handlerContext) {
    channel = handlerContext;
    int open = context.openConnections().incrementAndGet();
    if (open > context.settings().maximumConnections()) {
      context.metrics().increment("caller.too-many-connections");
      Channels.close(handlerContext);
    }
  }

  @Override
  protected void channelRead0(ChannelHandlerContext handlerContext, HttpObject message) {
    if (isClosing) {
      return;
    }
    if (message instanceof HttpRequest newHead) {
      startRequest(newHead);
    }
    if (message instanceof HttpContent content && !isClosing) {
      if (isDiscarding) {
        discard(content);
      } else {
        bufferContent(content);
      }
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext handlerContext) {
    context.openConnections().decrementAndGet();
    stopRequestTimeout();
    queued.clear();
    release(reservedBytes);
    current.ifPresent(this::abandon);
    current = Optional.empty();
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext handlerContext, Object event) {
    if (event instanceof IdleStateEvent idleState) {
      boolean hasUnwritten =
          handlerContext.channel().unsafe().outboundBuffer().totalPendingWriteBytes() > 0;
      if (idleState.state() == IdleState.WRITER_IDLE && hasUnwritten) {
        context.metrics().increment("caller.stalled");
        closeOver("stalled");
      } else if (idleState.state() == IdleState.ALL_IDLE && current.isEmpty()) {
        Channels.close(handlerContext);
      }
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext handlerContext, Throwable cause) {
    context.metrics().increment("caller.connection-failed");
    closeOver("failed");
  }

  /** Closes the connection; reports the requests that were read and get no complete response. */
  private void closeOver(String reason) {
    int unanswered = queued.size() + (current.isPresent() ? 1 : 0);
    if (unanswered > 0) {
      context.metrics().increment("caller.closed-over-request-" + reason);
      LogComponent.CALLER.warn(
          "Closed a connection over {} requests ({}), the first {}.",
          unanswered,
          reason,
          current.map(exchange -> exchange.id().value()).orElse("not opened"));
    }
    Channels.close(channel);
  }

  private void startRequest(HttpRequest newHead) {
    head = Optional.of(newHead);
    startRequestTimeout();
    if (newHead.decoderResult().isFailure()) {
      refuseAndClose("The request is not valid HTTP.");
    } else if (HttpUtil.getContentLength(newHead, 0L) > context.settings().maximumBodyBytes()) {
      refuseTooLarge();
    } else if (HttpUtil.is100ContinueExpected(newHead)) {
      Channels.writeAndFlush(
          channel, new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
    }
  }

  private void bufferContent(HttpContent content) {
    ByteBuf bytes = content.content();
    if (content.decoderResult().isFailure()) {
      refuseAndClose("The body is not valid HTTP.");
    } else if (body.size() + bytes.readableBytes() > context.settings().maximumBodyBytes()) {
      refuseTooLarge();
    } else if (!context.reserve(bytes.readableBytes())) {
      refuseAndDiscard(
          RefusalReason.ROUTER_OVERLOADED,
          "The router is receiving too many request bodies at once.");
    } else {
      reservedBytes += bytes.readableBytes();
      byte[] copy = new byte[bytes.readableBytes()];
      bytes.readBytes(copy);
      body.writeBytes(copy);
      if (content instanceof LastHttpContent) {
        completeRequest();
      }
    }
  }

  private void completeRequest() {
    stopRequestTimeout();
    CallerRequest request =
        new CallerRequest(
            head.orElseThrow(), ByteBuffer.wrap(body.toByteArray()), context.nowMicros());
    head = Optional.empty();
    body = new ByteArrayOutputStream(0);
    queued.add(request);
    if (current.isPresent()) {
      channel.channel().config().setAutoRead(false);
    } else {
      runNext();
    }
  }

  private void runNext() {
    CallerRequest request = queued.poll();
    if (request == null) {
      refusalBehind.ifPresentOrElse(
          this::writeRefusalAndClose, () -> channel.channel().config().setAutoRead(true));
      if (context.isDrained()) {
        closeWhenIdle();
      }
      return;
    }
    RequestId id = context.nextRequestId();
    int bodyBytes = request.body().remaining();
    Either<Refusal, RouterEvent> event = CallerRouting.toEvent(id, request);
    release(bodyBytes);
    CallerExchange exchange =
        new CallerExchange(
            context,
            socket(),
            id,
            request,
            event.toJavaOptional(),
            () -> !queued.isEmpty() || refusalBehind.isPresent(),
            isLast -> onExchangeEnded(id, isLast));
    current = Optional.of(exchange);
    event.peekLeft(refusal -> refuse(exchange, refusal)).peek(open -> offer(exchange, open));
  }

  private void offer(CallerExchange exchange, RouterEvent event) {
    context.openExchanges().put(exchange.id(), exchange);
    if (!context.events().offer(event)) {
      context.openExchanges().remove(exchange.id());
      long retryAtMicros = context.nowMicros() + OVERLOAD_RETRY_MICROS;
      refuse(
          exchange,
          Refusal.notRun(
              RefusalReason.ROUTER_OVERLOADED, "The router is overloaded.", retryAtMicros));
    }
  }

  private void refuse(CallerExchange exchange, Refusal refusal) {
    context.metrics().refused(refusal.reason());
    exchange.refuse(refusal);
  }

  private void onExchangeEnded(RequestId id, boolean isLast) {
    context.openExchanges().remove(id);
    isClosing = isLast;
    current = Optional.empty();
    // Runs the next request as a new task, so that many pipelined requests do not deepen the stack.
    channel.executor().execute(this::runNextIfIdle);
  }

  private void runNextIfIdle() {
    boolean isReadable = !isDiscarding || refusalBehind.isPresent();
    if (current.isEmpty() && channel.channel().isActive() && isReadable && !isClosing) {
      runNext();
    }
  }

  private void release(int bytes) {
    reservedBytes -= bytes;
    context.release(bytes);
  }

  private SocketChannel socket() {
    return (SocketChannel) channel.channel();
  }

  private void abandon(CallerExchange exchange) {
    exchange.abandon();
    if (context.openExchanges().remove(exchange.id()) != null) {
      context.events().deliver(new RouterEvent.CallerGone(exchange.id()));
    }
  }

  private void refuseTooLarge() {
    if (head.map(CallerRouting::keyOf).filter(key -> !key.isEmpty()).isEmpty()) {
      refuseAndDiscard(RefusalReason.UNKNOWN_KEY, "The request has no API key.");
      return;
    }
    refuseAndDiscard(
        RefusalReason.BODY_TOO_LARGE,
        "The body is larger than " + context.settings().maximumBodyBytes() + " bytes.");
  }

  /**
   * Writes a refusal immediately and discards the rest of the request. Closing a connection with
   * unread bytes could reset it before the caller has read the refusal.
   */
  private void refuseAndDiscard(RefusalReason reason, String detail) {
    isDiscarding = true;
    release(body.size());
    body = new ByteArrayOutputStream(0);
    Refusal refusal = Refusal.notRun(reason, detail);
    if (current.isPresent() || !queued.isEmpty()) {
      // The requests before this one are answered first.
      refusalBehind = Optional.of(refusal);
      channel.channel().config().setAutoRead(false);
      return;
    }
    writeRefusal(refusal);
  }

  private void writeRefusal(Refusal refusal) {
    context.metrics().refused(refusal.reason());
    RequestId id = context.nextRequestId();
    FullResponse response = FullResponse.of(id, refusal);
    Channels.writeAndFlush(channel, response.toHttp(id, true, channel.alloc()));
  }

  private void writeRefusalAndClose(Refusal refusal) {
    isClosing = true;
    writeRefusal(refusal);
    Channels.closeAfterWrites(socket());
  }

  /** Refuses the request and closes the connection, because the request's end cannot be found. */
  private void refuseAndClose(String detail) {
    refuseAndDiscard(RefusalReason.MALFORMED_REQUEST, detail);
    stopRequestTimeout();
    if (refusalBehind.isEmpty()) {
      isClosing = true;
      Channels.closeAfterWrites(socket());
    }
  }

  private void discard(HttpContent content) {
    if (refusalBehind.isPresent()) {
      return;
    }
    discardedBytes += content.content().readableBytes();
    long maximumBytes = (long) MAXIMUM_DISCARDED_BODIES * context.settings().maximumBodyBytes();
    if (content instanceof LastHttpContent || discardedBytes > maximumBytes) {
      Channels.close(channel);
    }
  }

  private void startRequestTimeout() {
    stopRequestTimeout();
    requestTimeout =
        Optional.of(
            channel
                .executor()
                .schedule(
                    this::onRequestTimeout,
                    context.settings().requestTimeout().toMillis(),
                    TimeUnit.MILLISECONDS));
  }

  private void stopRequestTimeout() {
    requestTimeout.ifPresent(running -> running.cancel(false));
    requestTimeout = Optional.empty();
  }

  private void onRequestTimeout() {
    context.metrics().increment("caller.request-too-slow");
    closeOver("request-too-slow");
  }
}
