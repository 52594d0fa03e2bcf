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

/**
 * One connection of a caller: gathers requests and runs them one after the other.
 *
 * <p>Invariant: keeps at most one body that grows, of bounded size; reads no more while a request
 * waits for the answer to an earlier one. Used on the loop of the connection alone.
 */
final class CallerConnection extends SimpleChannelInboundHandler<HttpObject> {
  private static final long OVERLOAD_WAIT_MICROS = 1_000_000;
  private static final int DISCARDED_BODIES = 16;

  private final CallerContext context;
  private final Deque<CallerRequest> waiting = new ArrayDeque<>();
  private ChannelHandlerContext channel;
  private Optional<CallerExchange> current = Optional.empty();
  private Optional<ScheduledFuture<?>> requestTimeout = Optional.empty();
  private Optional<HttpRequest> head = Optional.empty();
  private ByteArrayOutputStream body = new ByteArrayOutputStream(0);
  private long discardedBytes;
  private int reservedBytes;
  private boolean isDiscarding;
  private boolean isEnding;

  CallerConnection(CallerContext context) {
    this.context = context;
  }

  /** Closes the connection now, or after the answer that is being made. */
  void closeWhenUnused() {
    if (current.isEmpty() && head.isEmpty() && waiting.isEmpty()) {
      isEnding = true;
      Channels.closeAfterWrites(socket());
    }
  }

  @Override
  public void channelActive(ChannelHandlerContext opened) {
    channel = opened;
    int open = context.connections().incrementAndGet();
    if (open > context.settings().maximumConnections()) {
      context.metrics().increment("caller.too-many-connections");
      Channels.close(opened);
    }
  }

  @Override
  protected void channelRead0(ChannelHandlerContext received, HttpObject part) {
    if (isEnding) {
      return;
    }
    if (part instanceof HttpRequest newHead) {
      startRequest(newHead);
    }
    if (part instanceof HttpContent content && !isEnding) {
      if (isDiscarding) {
        discard(content);
      } else {
        gather(content);
      }
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext closed) {
    context.connections().decrementAndGet();
    stopRequestTimeout();
    waiting.clear();
    release(reservedBytes);
    current.ifPresent(this::abandon);
    current = Optional.empty();
  }

  @Override
  public void userEventTriggered(ChannelHandlerContext idle, Object event) {
    if (event instanceof IdleStateEvent silence) {
      boolean hasUnwritten = idle.channel().unsafe().outboundBuffer().totalPendingWriteBytes() > 0;
      if (silence.state() == IdleState.WRITER_IDLE && hasUnwritten) {
        context.metrics().increment("caller.stalled");
        Channels.close(idle);
      } else if (silence.state() == IdleState.ALL_IDLE && current.isEmpty()) {
        Channels.close(idle);
      }
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext failed, Throwable cause) {
    context.metrics().increment("caller.connection-failed");
    Channels.close(failed);
  }

  private void startRequest(HttpRequest newHead) {
    head = Optional.of(newHead);
    startRequestTimeout();
    if (newHead.decoderResult().isFailure()) {
      refuseAndEnd("The request is not valid HTTP.");
    } else if (HttpUtil.getContentLength(newHead, 0L) > context.settings().maximumBodyBytes()) {
      refuseTooLarge();
    } else if (HttpUtil.is100ContinueExpected(newHead)) {
      Channels.writeAndFlush(
          channel, new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE));
    }
  }

  private void gather(HttpContent content) {
    ByteBuf bytes = content.content();
    if (content.decoderResult().isFailure()) {
      refuseAndEnd("The body is not valid HTTP.");
    } else if (body.size() + bytes.readableBytes() > context.settings().maximumBodyBytes()) {
      refuseTooLarge();
    } else if (!context.reserve(bytes.readableBytes())) {
      refuseAndDiscard(
          RefusalReason.ROUTER_OVERLOADED, "Too many requests are being received at once.");
    } else {
      reservedBytes += bytes.readableBytes();
      byte[] copy = new byte[bytes.readableBytes()];
      bytes.readBytes(copy);
      body.writeBytes(copy);
      if (content instanceof LastHttpContent) {
        endRequest();
      }
    }
  }

  private void endRequest() {
    stopRequestTimeout();
    CallerRequest request =
        new CallerRequest(
            head.orElseThrow(), ByteBuffer.wrap(body.toByteArray()), context.nowMicros());
    head = Optional.empty();
    body = new ByteArrayOutputStream(0);
    waiting.add(request);
    if (current.isPresent()) {
      channel.channel().config().setAutoRead(false);
    } else {
      runNext();
    }
  }

  private void runNext() {
    CallerRequest request = waiting.poll();
    if (request == null) {
      channel.channel().config().setAutoRead(true);
      return;
    }
    RequestId id = context.nextRequestId();
    int bodyBytes = request.body().remaining();
    Either<Refusal, RouterEvent> event = CallerRouting.eventOf(id, request);
    release(bodyBytes);
    CallerExchange exchange =
        new CallerExchange(
            context, socket(), id, request, event.toJavaOptional(), isLast -> ended(id, isLast));
    current = Optional.of(exchange);
    event.peekLeft(refusal -> refuse(exchange, refusal)).peek(open -> offer(exchange, open));
  }

  private void offer(CallerExchange exchange, RouterEvent event) {
    context.open().put(exchange.id(), exchange);
    if (!context.events().offer(event)) {
      context.open().remove(exchange.id());
      long retryAtMicros = context.nowMicros() + OVERLOAD_WAIT_MICROS;
      refuse(
          exchange,
          Refusal.notRun(
              RefusalReason.ROUTER_OVERLOADED, "The router has too much to do.", retryAtMicros));
    }
  }

  private void refuse(CallerExchange exchange, Refusal refusal) {
    context.metrics().refused(refusal.reason());
    exchange.refuse(refusal);
  }

  private void ended(RequestId id, boolean isLast) {
    context.open().remove(id);
    isEnding = isLast;
    current = Optional.empty();
    // The next request starts in a turn of its own, so that a long row of them needs no deep stack.
    channel.executor().execute(this::runNextUnlessBusy);
  }

  private void runNextUnlessBusy() {
    if (current.isEmpty() && channel.channel().isActive() && !isDiscarding && !isEnding) {
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
    if (context.open().remove(exchange.id()) != null) {
      context.events().deliver(new RouterEvent.CallerGone(exchange.id()));
    }
  }

  private void refuseTooLarge() {
    if (head.map(CallerRouting::keyOf).filter(key -> !key.isEmpty()).isEmpty()) {
      refuseAndDiscard(RefusalReason.UNKNOWN_KEY, "No key was sent.");
      return;
    }
    refuseAndDiscard(
        RefusalReason.BODY_TOO_LARGE,
        "The body is larger than " + context.settings().maximumBodyBytes() + " bytes.");
  }

  /** Answers at once, then reads the rest so that the caller can read the answer. */
  private void refuseAndDiscard(RefusalReason reason, String detail) {
    isDiscarding = true;
    release(body.size());
    body = new ByteArrayOutputStream(0);
    if (current.isPresent()) {
      // An earlier answer is being written; a refusal cannot go before its end.
      Channels.close(channel);
      return;
    }
    context.metrics().refused(reason);
    RequestId id = context.nextRequestId();
    WholeResponse response = WholeResponse.of(id, Refusal.notRun(reason, detail));
    Channels.writeAndFlush(channel, response.toHttp(id, true, channel.alloc()));
  }

  /** Answers and ends the connection, because no end of the request can be found in its bytes. */
  private void refuseAndEnd(String detail) {
    refuseAndDiscard(RefusalReason.MALFORMED_REQUEST, detail);
    stopRequestTimeout();
    isEnding = true;
    Channels.closeAfterWrites(socket());
  }

  private void discard(HttpContent content) {
    discardedBytes += content.content().readableBytes();
    long most = (long) DISCARDED_BODIES * context.settings().maximumBodyBytes();
    if (content instanceof LastHttpContent || discardedBytes > most) {
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
                    this::requestTooSlow,
                    context.settings().requestTimeout().toMillis(),
                    TimeUnit.MILLISECONDS));
  }

  private void stopRequestTimeout() {
    requestTimeout.ifPresent(running -> running.cancel(false));
    requestTimeout = Optional.empty();
  }

  private void requestTooSlow() {
    context.metrics().increment("caller.request-too-slow");
    Channels.close(channel);
  }
}
