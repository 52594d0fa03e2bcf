package org.shallothook.transport.forward;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;
import io.vavr.control.Either;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import net.openhft.hashing.LongHashFunction;
import org.shallothook.coordination.forward.ForwardEvent;
import org.shallothook.coordination.forward.RequestHead;
import org.shallothook.coordination.port.Decision;
import org.shallothook.state.request.Refusal;
import org.shallothook.state.request.RefusalReason;
import org.shallothook.state.request.RequestId;
import org.shallothook.transport.Channels;
import org.shallothook.transport.logging.LogComponent;

/**
 * A caller connection: reads complete requests and writes their responses in order.
 *
 * <p>Invariant: at most one request is open at a time. If the framing of a request is ambiguous,
 * the connection is closed, so that bytes of one request are never read as part of another (request
 * smuggling). Confined to the event loop.
 */
final class InboundConnection extends ChannelInboundHandlerAdapter
    implements InboundExchange.Connection, MemoryBudget.Holder {
  /** Pipelined requests that may wait behind the open one before reading is paused. */
  private static final int MAXIMUM_QUEUED_REQUESTS = 2;

  /** Time for which the rest of a body that has no room is read after its refusal. */
  private static final Duration DROPPED_BODY_TIMEOUT = Duration.ofSeconds(5);

  private static final LongHashFunction HASH = LongHashFunction.xx3();
  private static final long OVERLOAD_RETRY_MICROS = 500_000;

  private final ForwardContext context;
  private final Queue<CompleteRequest> queued = new ArrayDeque<>();
  private Channel channel;
  private Optional<HttpRequest> head = Optional.empty();
  private RequestBody body;
  private Optional<InboundExchange> current = Optional.empty();
  private Optional<ScheduledFuture<?>> timer = Optional.empty();
  private Optional<Refusal> refusalBehind = Optional.empty();
  private boolean isDiscarding;
  private boolean isBodyDropped;
  private boolean isLastRequest;
  private boolean isLastResponse;
  private boolean isClosing;
  private boolean hasCarriedRequest;
  private boolean hasDiscardedRequest;
  private Optional<CloseReason> closeReason = Optional.empty();
  private long lastActivityMicros;

  /** A completely received request that waits for earlier ones. */
  private record CompleteRequest(HttpRequest head, ByteBuf body) {}

  InboundConnection(ForwardContext context) {
    this.context = context;
  }

  @Override
  public Channel channel() {
    return channel;
  }

  @Override
  public long heldBytes() {
    return outboundBytes() + current.map(InboundExchange::heldBytes).orElse(0L);
  }

  @Override
  public void pauseReading(boolean shouldPause) {
    current.ifPresent(exchange -> exchange.pauseReading(shouldPause));
  }

  @Override
  public void shed() {
    long attemptBytes = current.map(InboundExchange::heldBytes).orElse(0L);
    if (attemptBytes > outboundBytes()) {
      context.counters().increment("servers.failed-for-memory");
      current.orElseThrow().failAttempt("the memory for responses is used up");
    } else {
      context.counters().increment("callers.closed-for-memory");
      startClosing(CloseReason.MEMORY);
      Channels.close(channel);
    }
  }

  private long outboundBytes() {
    ChannelOutboundBuffer outbound = channel.unsafe().outboundBuffer();
    return outbound == null ? 0 : outbound.totalPendingWriteBytes();
  }

  @Override
  public boolean decideLastResponse() {
    boolean isLastOnDrain = context.isDraining() && queued.isEmpty() && refusalBehind.isEmpty();
    isLastResponse = isLastRequest || isLastOnDrain;
    return isLastResponse;
  }

  /** Returns whether a request has arrived on the connection. */
  boolean hasCarriedRequest() {
    return hasCarriedRequest;
  }

  /** Closes the connection if no request is open, queued or being received. */
  void closeIfIdle() {
    // Reads first: a request that is already in the socket buffer must not be dropped.
    boolean isOpen = Channels.isOpenAfterReading(channel);
    boolean hasRequest = current.isPresent() || head.isPresent() || !queued.isEmpty();
    if (isOpen && !isClosing && !hasRequest) {
      startClosing(CloseReason.IDLE);
      Channels.closeAfterWrites((SocketChannel) channel);
    }
  }

  @Override
  public void handlerAdded(ChannelHandlerContext handlerContext) {
    channel = handlerContext.channel();
  }

  @Override
  public void channelActive(ChannelHandlerContext handlerContext) {
    lastActivityMicros = context.nowMicros();
    startTimer(context.limits().idleMillis());
  }

  @Override
  public void channelRead(ChannelHandlerContext handlerContext, Object message) {
    lastActivityMicros = context.nowMicros();
    if (isDiscarding || isClosing || !(message instanceof HttpObject part)) {
      discard(message);
      return;
    }
    if (part.decoderResult().isFailure()) {
      ReferenceCountUtil.release(message);
      refuseUndecodable(part.decoderResult().cause());
      return;
    }
    if (part instanceof HttpRequest request) {
      startRequest(request);
    }
    if (part instanceof HttpContent content) {
      receiveContent(content);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext handlerContext) {
    stopTimer();
    startClosing(CloseReason.CALLER_LEFT);
    releaseBody();
    queued.forEach(
        request -> {
          context.counters().increment("callers.left-unopened");
          request.body().release();
        });
    queued.clear();
    current.ifPresent(
        exchange -> {
          exchange.abandon();
          context.events().deliver(new ForwardEvent.CallerGone(exchange.number()));
        });
    current = Optional.empty();
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext handlerContext) {
    current.ifPresent(exchange -> exchange.writabilityChanged(channel.isWritable()));
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext handlerContext, Throwable cause) {
    context.counters().increment("caller.connection-failed");
    if (cause instanceof IOException) {
      LogComponent.CALLER.debug("A caller connection failed: {}.", cause.getMessage());
    } else {
      LogComponent.CALLER.error(cause, "Handling a message of a caller connection failed.");
    }
    startClosing(CloseReason.FAILED);
    Channels.close(handlerContext);
  }

  @Override
  public void onResponseCompleted(InboundExchange exchange) {
    onResponseWritten();
  }

  private void onResponseWritten() {
    current = Optional.empty();
    lastActivityMicros = context.nowMicros();
    if (isLastResponse) {
      startClosing(CloseReason.LAST_RESPONSE);
      Channels.closeAfterWrites((SocketChannel) channel);
    } else {
      // Runs the next request as a new task, so that many pipelined requests do not deepen the
      // stack.
      channel.eventLoop().execute(this::runNext);
    }
  }

  @Override
  public void onResponseFailed(InboundExchange exchange) {
    startClosing(CloseReason.BROKEN_OFF);
    current = Optional.empty();
    Channels.close(channel);
  }

  private void startRequest(HttpRequest request) {
    hasCarriedRequest = true;
    String encoding = request.headers().get(HttpHeaderNames.TRANSFER_ENCODING);
    boolean isChunked =
        HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(emptyIfNull(encoding).trim());
    boolean isAmbiguous =
        (encoding != null && !isChunked)
            || request.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING).size() > 1
            || request.headers().getAll(HttpHeaderNames.HOST).size() != 1;
    if (isAmbiguous || !request.uri().startsWith("/")) {
      refuseAndClose(
          RefusalReason.MALFORMED_REQUEST,
          "The request's Host or Transfer-Encoding header or its target is not valid.");
      return;
    }
    long length = HttpUtil.isContentLengthSet(request) ? HttpUtil.getContentLength(request) : 0;
    if (length > context.limits().bodyBytes()) {
      refuseAndClose(RefusalReason.BODY_TOO_LARGE, "The body is too large.");
      return;
    }
    Optional<RequestBody> opened = RequestBody.open(channel.alloc(), context.budget(), length);
    if (opened.isEmpty()) {
      refuseForMemory();
      return;
    }
    head = Optional.of(request);
    body = opened.get();
    if (HttpUtil.is100ContinueExpected(request)) {
      FullHttpResponse continueResponse =
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER);
      Channels.writeAndFlush(channel, continueResponse);
    }
  }

  private static String emptyIfNull(String text) {
    return text == null ? "" : text;
  }

  private void receiveContent(HttpContent content) {
    if (head.isEmpty()) {
      ReferenceCountUtil.release(content);
      return;
    }
    if (body.readableBytes() + content.content().readableBytes() > context.limits().bodyBytes()) {
      ReferenceCountUtil.release(content);
      refuseAndClose(RefusalReason.BODY_TOO_LARGE, "The body is too large.");
      return;
    }
    boolean hasRoom;
    try {
      hasRoom = body.receive(content.content());
    } finally {
      ReferenceCountUtil.release(content);
    }
    if (!hasRoom) {
      refuseForMemory();
    } else if (content instanceof LastHttpContent) {
      queued.add(new CompleteRequest(head.orElseThrow(), body));
      head = Optional.empty();
      body = null;
      if (current.isEmpty()) {
        runNext();
      } else if (queued.size() > MAXIMUM_QUEUED_REQUESTS) {
        channel.config().setAutoRead(false);
      }
    }
  }

  private void runNext() {
    if (current.isPresent() || isClosing || !channel.isActive()) {
      return;
    }
    if (queued.isEmpty()) {
      refusalBehind.ifPresent(this::refuseAndClose);
      if (context.hasDrainPeriodEnded()) {
        closeIfIdle();
      }
      return;
    }
    CompleteRequest request = queued.remove();
    channel.config().setAutoRead(true);
    isLastRequest = !HttpUtil.isKeepAlive(request.head());
    open(request);
  }

  private void open(CompleteRequest received) {
    long contentHash = contentHash(received);
    Either<Refusal, RequestHead> parsedHead =
        context.form().read(received.head(), contentHash, context.nowMicros());
    if (parsedHead.isLeft()) {
      received.body().release();
      // The request is framed well, so the connection can go on with the next one.
      writeRefusal(parsedHead.getLeft(), decideLastResponse());
      onResponseWritten();
      return;
    }
    OutboundRequest request =
        new OutboundRequest(received.head(), parsedHead.get(), received.body());
    InboundExchange exchange = new InboundExchange(context.nextNumber(), request, context, this);
    current = Optional.of(exchange);
    context.add(exchange);
    boolean isAccepted =
        context.events().offer(new ForwardEvent.Requested(exchange.number(), parsedHead.get()));
    if (!isAccepted) {
      context.counters().refused(RefusalReason.ROUTER_OVERLOADED);
      exchange.refuse(
          Refusal.notRun(
              RefusalReason.ROUTER_OVERLOADED,
              "The router is overloaded.",
              context.nowMicros() + OVERLOAD_RETRY_MICROS));
    }
  }

  private static long contentHash(CompleteRequest received) {
    HttpRequest request = received.head();
    String key = emptyIfNull(request.headers().get(HttpHeaderNames.AUTHORIZATION));
    long hash = HASH.hashChars(request.method() + " " + request.uri() + "\n" + key);
    byte[] bytes = ByteBufUtil.getBytes(received.body());
    return hash * 31 + HASH.hashBytes(bytes);
  }

  private void refuseUndecodable(Throwable cause) {
    if (cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException) {
      refuseAndClose(RefusalReason.HEAD_TOO_LARGE, "The head is too large.");
    } else {
      refuseAndClose(RefusalReason.MALFORMED_REQUEST, "The request is not valid HTTP.");
    }
  }

  /**
   * Refuses the request and closes the connection, because the end of the request is unknown or too
   * much would have to be read to reach it.
   */
  private void refuseAndClose(RefusalReason reason, String detail) {
    refuseAndClose(Refusal.notRun(reason, detail));
  }

  private void refuseAndClose(Refusal refusal) {
    isDiscarding = true;
    head = Optional.empty();
    releaseBody();
    if (current.isPresent() || !queued.isEmpty()) {
      // The requests before this one are answered first.
      refusalBehind = Optional.of(refusal);
      return;
    }
    startClosing(CloseReason.UNREADABLE_REQUEST);
    writeRefusal(refusal, true);
    Channels.closeAfterWrites(
        (SocketChannel) channel,
        isBodyDropped ? DROPPED_BODY_TIMEOUT : Channels.GRACEFUL_CLOSE_TIMEOUT);
  }

  /**
   * Refuses a request whose body has no room in the memory of the process. What still arrives of
   * the body is read and dropped for a while, because many callers read no response before they
   * have sent all of it.
   */
  private void refuseForMemory() {
    context.counters().increment("callers.refused-for-memory");
    isBodyDropped = true;
    refuseAndClose(
        Refusal.notRun(
            RefusalReason.ROUTER_OVERLOADED,
            "The bodies of requests use up the memory for them.",
            context.nowMicros() + OVERLOAD_RETRY_MICROS));
  }

  /**
   * Marks the connection as closing, and reports the requests that were read and that get no
   * complete response. A caller who leaves while only one request is open is reported by the
   * decision thread.
   */
  private void startClosing(CloseReason reason) {
    isClosing = true;
    if (closeReason.isEmpty()) {
      closeReason = Optional.of(reason);
      boolean isCurrentReported = reason == CloseReason.CALLER_LEFT;
      if (!queued.isEmpty() || (current.isPresent() && !isCurrentReported)) {
        reportClosedOver(reason);
      }
    }
  }

  /** Reports a connection that the process leaves open at its end. */
  void reportOpenAtEnd() {
    if (closeReason.isEmpty()) {
      startClosing(CloseReason.PROCESS_STOPPED);
    } else if (outboundBytes() > 0) {
      reportClosedOver(CloseReason.PROCESS_STOPPED);
    }
  }

  private void reportClosedOver(CloseReason reason) {
    context.counters().increment("callers.closed-over-request-" + reason.code());
    context
        .journal()
        .write(
            Decision.CONNECTION_CLOSED,
            current
                .map(exchange -> exchange.request().parsedHead().id())
                .or(() -> Optional.ofNullable(queued.peek()).map(next -> idOf(next.head())))
                .orElse("none"),
            "outcome",
            reason.code(),
            "has_response",
            current.map(InboundExchange::hasStartedResponse).orElse(true),
            "queued",
            queued.size(),
            "unwritten_bytes",
            outboundBytes(),
            "draining",
            context.isDraining(),
            "inactive_ms",
            TimeUnit.MICROSECONDS.toMillis(context.nowMicros() - lastActivityMicros));
  }

  /** Drops a message that arrives on a closing connection, and reports the first request. */
  private void discard(Object message) {
    if (message instanceof HttpRequest request && !hasDiscardedRequest) {
      hasDiscardedRequest = true;
      context.counters().increment("callers.discarded-after-close");
      context
          .journal()
          .write(
              Decision.CONNECTION_CLOSED,
              idOf(request),
              "outcome",
              "discarded",
              "closed_as",
              closeReason.map(CloseReason::code).orElse("none"),
              "draining",
              context.isDraining());
    }
    ReferenceCountUtil.release(message);
  }

  private String idOf(HttpRequest request) {
    return context
        .form()
        .read(request, 0, context.nowMicros())
        .fold(left -> "none", RequestHead::id);
  }

  private void writeRefusal(Refusal refusal, boolean isLast) {
    context.counters().refused(refusal.reason());
    FullHttpResponse response =
        RefusalResponse.of(
            new RequestId("unread"), refusal, isLast, channel.alloc(), context.nowMicros());
    Channels.writeAndFlush(channel, response);
  }

  private void releaseBody() {
    if (body != null) {
      body.release();
      body = null;
    }
  }

  private void startTimer(long millis) {
    stopTimer();
    timer =
        Optional.of(
            channel
                .eventLoop()
                .schedule(this::checkTimeout, Math.max(1, millis), TimeUnit.MILLISECONDS));
  }

  private void stopTimer() {
    timer.ifPresent(running -> running.cancel(false));
    timer = Optional.empty();
  }

  /** Closes a connection that is idle or whose request body has stopped arriving. */
  private void checkTimeout() {
    long limitMillis =
        head.isPresent() ? context.limits().headerMillis() : context.limits().idleMillis();
    long inactiveMillis = TimeUnit.MICROSECONDS.toMillis(context.nowMicros() - lastActivityMicros);
    if (current.isPresent() || inactiveMillis < limitMillis) {
      startTimer(current.isPresent() ? limitMillis : limitMillis - inactiveMillis);
    } else if (head.isPresent()) {
      refuseAndClose(
          RefusalReason.HEAD_TOO_SLOW, "The request was not received before the timeout.");
    } else {
      closeIfIdle();
    }
  }
}
