package org.shallothook.transport.forward;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
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
import java.util.ArrayDeque;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import net.openhft.hashing.LongHashFunction;
import org.shallothook.coordination.forward.ForwardEvent;
import org.shallothook.coordination.forward.RequestHead;
import org.shallothook.state.request.Refusal;
import org.shallothook.state.request.RefusalReason;
import org.shallothook.state.request.RequestId;
import org.shallothook.transport.Channels;
import org.shallothook.transport.logging.LogComponent;

/**
 * One connection of a caller: reads whole requests and answers them in order.
 *
 * <p>Invariant: one request is open at a time, and nothing is read into one request that belongs to
 * another: where the end of a request is in doubt, the connection is closed. Used on the loop
 * alone.
 */
final class InboundConnection extends ChannelInboundHandlerAdapter
    implements InboundExchange.Connection {
  /** Requests that may wait behind the open one before reading stops. */
  private static final int MOST_WAITING = 2;

  private static final LongHashFunction HASH = LongHashFunction.xx3();
  private static final long OVERLOAD_RETURN_MICROS = 500_000;

  private final ForwardContext context;
  private final Queue<Received> waiting = new ArrayDeque<>();
  private Channel channel;
  private Optional<HttpRequest> head = Optional.empty();
  private CompositeByteBuf body;
  private Optional<InboundExchange> current = Optional.empty();
  private Optional<ScheduledFuture<?>> timer = Optional.empty();
  private boolean isDiscarding;
  private boolean isLastRequest;
  private boolean isEnding;
  private long usedAtMicros;

  /** A whole request that has not been opened yet. */
  private record Received(HttpRequest head, ByteBuf body) {}

  InboundConnection(ForwardContext context) {
    this.context = context;
  }

  @Override
  public Channel channel() {
    return channel;
  }

  @Override
  public boolean isLast() {
    return isLastRequest || context.isDraining();
  }

  /** Closes the connection if no request is open or being read. */
  void closeIfUnused() {
    // A request that has already arrived would otherwise be dropped unread.
    boolean isOpen = Channels.isOpenAfterReading(channel);
    if (isOpen && current.isEmpty() && head.isEmpty() && waiting.isEmpty()) {
      isEnding = true;
      Channels.closeAfterWrites((SocketChannel) channel);
    }
  }

  @Override
  public void handlerAdded(ChannelHandlerContext handlerContext) {
    channel = handlerContext.channel();
  }

  @Override
  public void channelActive(ChannelHandlerContext handlerContext) {
    usedAtMicros = context.nowMicros();
    startTimer(context.limits().idleMillis());
  }

  @Override
  public void channelRead(ChannelHandlerContext handlerContext, Object message) {
    usedAtMicros = context.nowMicros();
    if (isDiscarding || isEnding || !(message instanceof HttpObject part)) {
      ReferenceCountUtil.release(message);
      return;
    }
    if (part.decoderResult().isFailure()) {
      ReferenceCountUtil.release(message);
      refuseUnreadable(part.decoderResult().cause());
      return;
    }
    if (part instanceof HttpRequest request) {
      startRequest(request);
    }
    if (part instanceof HttpContent content) {
      receive(content);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext handlerContext) {
    stopTimer();
    releaseBody();
    waiting.forEach(
        request -> {
          context.counters().increment("callers.left-unopened");
          request.body().release();
        });
    waiting.clear();
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
    LogComponent.CALLER.debug("A connection failed: {}.", cause.getMessage());
    Channels.close(handlerContext);
  }

  @Override
  public void answered(InboundExchange exchange) {
    boolean isOver = isLast();
    current = Optional.empty();
    usedAtMicros = context.nowMicros();
    if (isOver || isDiscarding) {
      isEnding = true;
      Channels.closeAfterWrites((SocketChannel) channel);
    } else {
      // The next request starts in a turn of its own, so that a long row of them needs no stack.
      channel.eventLoop().execute(this::runNext);
    }
  }

  @Override
  public void failed(InboundExchange exchange) {
    current = Optional.empty();
    Channels.close(channel);
  }

  private void startRequest(HttpRequest request) {
    String encoding = request.headers().get(HttpHeaderNames.TRANSFER_ENCODING);
    boolean isChunked = HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(orEmpty(encoding).trim());
    boolean isAmbiguous =
        (encoding != null && !isChunked)
            || request.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING).size() > 1
            || request.headers().getAll(HttpHeaderNames.HOST).size() != 1;
    if (isAmbiguous || !request.uri().startsWith("/")) {
      refuseAndEnd(RefusalReason.MALFORMED_REQUEST, "The head is not valid.");
      return;
    }
    long length = HttpUtil.isContentLengthSet(request) ? HttpUtil.getContentLength(request) : 0;
    if (length > context.limits().bodyBytes()) {
      refuseAndEnd(RefusalReason.BODY_TOO_LARGE, "The body is too large.");
      return;
    }
    head = Optional.of(request);
    body = channel.alloc().compositeBuffer(Integer.MAX_VALUE);
    if (HttpUtil.is100ContinueExpected(request)) {
      FullHttpResponse proceed =
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER);
      Channels.writeAndFlush(channel, proceed);
    }
  }

  private static String orEmpty(String text) {
    return text == null ? "" : text;
  }

  private void receive(HttpContent content) {
    if (head.isEmpty()) {
      ReferenceCountUtil.release(content);
      return;
    }
    if (body.readableBytes() + content.content().readableBytes() > context.limits().bodyBytes()) {
      ReferenceCountUtil.release(content);
      refuseAndEnd(RefusalReason.BODY_TOO_LARGE, "The body is too large.");
      return;
    }
    body.addComponent(true, content.content());
    if (content instanceof LastHttpContent) {
      waiting.add(new Received(head.orElseThrow(), body));
      head = Optional.empty();
      body = null;
      if (current.isEmpty()) {
        runNext();
      } else if (waiting.size() > MOST_WAITING) {
        channel.config().setAutoRead(false);
      }
    }
  }

  private void runNext() {
    if (current.isPresent() || isEnding || !channel.isActive()) {
      return;
    }
    if (waiting.isEmpty()) {
      return;
    }
    Received request = waiting.remove();
    channel.config().setAutoRead(true);
    isLastRequest = !HttpUtil.isKeepAlive(request.head());
    open(request);
  }

  private void open(Received received) {
    long contentHash = contentHash(received);
    Either<Refusal, RequestHead> typed =
        context.form().read(received.head(), contentHash, context.nowMicros());
    if (typed.isLeft()) {
      received.body().release();
      isEnding = true;
      write(typed.getLeft());
      return;
    }
    OutboundRequest request = new OutboundRequest(received.head(), typed.get(), received.body());
    InboundExchange exchange = new InboundExchange(context.nextNumber(), request, context, this);
    current = Optional.of(exchange);
    context.opened(exchange);
    boolean isTaken =
        context.events().offer(new ForwardEvent.Requested(exchange.number(), typed.get()));
    if (!isTaken) {
      context.counters().refused(RefusalReason.ROUTER_OVERLOADED);
      exchange.refuse(
          Refusal.notRun(
              RefusalReason.ROUTER_OVERLOADED,
              "The router has too much to do.",
              context.nowMicros() + OVERLOAD_RETURN_MICROS));
    }
  }

  private static long contentHash(Received received) {
    HttpRequest request = received.head();
    String key = orEmpty(request.headers().get(HttpHeaderNames.AUTHORIZATION));
    long hash = HASH.hashChars(request.method() + " " + request.uri() + "\n" + key);
    byte[] bytes = ByteBufUtil.getBytes(received.body());
    return hash * 31 + HASH.hashBytes(bytes);
  }

  private void refuseUnreadable(Throwable cause) {
    if (cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException) {
      refuseAndEnd(RefusalReason.HEAD_TOO_LARGE, "The head is too large.");
    } else {
      refuseAndEnd(RefusalReason.MALFORMED_REQUEST, "The request is not valid HTTP.");
    }
  }

  /** Answers and ends the connection, because the end of the request is unknown or far away. */
  private void refuseAndEnd(RefusalReason reason, String detail) {
    isDiscarding = true;
    head = Optional.empty();
    releaseBody();
    if (current.isPresent()) {
      // The open request's answer goes first; the connection closes behind it.
      return;
    }
    isEnding = true;
    write(Refusal.notRun(reason, detail));
  }

  private void write(Refusal refusal) {
    context.counters().refused(refusal.reason());
    FullHttpResponse response =
        RefusalResponse.of(new RequestId("unread"), refusal, true, channel.alloc());
    Channels.writeAndFlush(channel, response);
    Channels.closeAfterWrites((SocketChannel) channel);
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
                .schedule(this::checkTime, Math.max(1, millis), TimeUnit.MILLISECONDS));
  }

  private void stopTimer() {
    timer.ifPresent(running -> running.cancel(false));
    timer = Optional.empty();
  }

  /** Closes an unused connection, or one whose request stands still within its body. */
  private void checkTime() {
    long limitMillis =
        head.isPresent() ? context.limits().headerMillis() : context.limits().idleMillis();
    long unusedMillis = TimeUnit.MICROSECONDS.toMillis(context.nowMicros() - usedAtMicros);
    if (current.isPresent() || unusedMillis < limitMillis) {
      startTimer(current.isPresent() ? limitMillis : limitMillis - unusedMillis);
    } else if (head.isPresent()) {
      refuseAndEnd(RefusalReason.HEAD_TOO_SLOW, "The request did not arrive in time.");
    } else {
      closeIfUnused();
    }
  }
}
