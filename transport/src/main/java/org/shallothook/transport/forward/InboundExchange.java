package org.shallothook.transport.forward;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.Locale;
import java.util.Optional;
import org.shallothook.coordination.forward.Dispatch;
import org.shallothook.coordination.forward.ForwardEvent;
import org.shallothook.protocol.caller.CallerHeaders;
import org.shallothook.state.request.Outcome;
import org.shallothook.state.request.Refusal;
import org.shallothook.state.request.RefusalReason;
import org.shallothook.state.request.RequestId;
import org.shallothook.transport.Channels;

/**
 * One request of a caller, from its last byte to the end of its answer.
 *
 * <p>Invariant: the caller is sent the head of one answer at most, and an end only where the answer
 * is whole. Used on the loop alone.
 */
final class InboundExchange implements ServerAttempt.Owner {
  private static final String EVENT_STREAM = "text/event-stream";
  private static final double MICROS_PER_SECOND = 1_000_000;

  /** What an exchange needs of the connection that it belongs to. */
  interface Connection {
    Channel channel();

    /** The answer is written whole; the connection may take the next request. */
    void answered(InboundExchange exchange);

    /** The answer cannot become whole; the connection must be closed. */
    void failed(InboundExchange exchange);

    /** Returns whether the answer must be the last on the connection. */
    boolean isLast();
  }

  private final long number;
  private final OutboundRequest request;
  private final ForwardContext context;
  private final Connection connection;
  private Optional<ServerAttempt> attempt = Optional.empty();
  private Optional<HttpResponse> answer = Optional.empty();
  private Optional<EventSplitter> events = Optional.empty();
  private boolean hasBegun;
  private boolean isOver;
  private Optional<Long> stallMicros = Optional.empty();
  private long receivedAtMicros;

  InboundExchange(
      long number, OutboundRequest request, ForwardContext context, Connection connection) {
    this.number = number;
    this.request = request;
    this.context = context;
    this.connection = connection;
  }

  long number() {
    return number;
  }

  OutboundRequest request() {
    return request;
  }

  void send(int attemptNumber, Dispatch dispatch) {
    if (isOver) {
      return;
    }
    ServerAttempt next = new ServerAttempt(attemptNumber, dispatch, request, this);
    attempt = Optional.of(next);
    context.servers().send(next);
  }

  void relay(int attemptNumber, Optional<Long> newStallMicros) {
    stallMicros = newStallMicros;
    receivedAtMicros = context.nowMicros();
    ServerAttempt current = current(attemptNumber);
    if (current == null || isOver) {
      return;
    }
    if (!hasBegun) {
      begin(answer.orElseThrow());
    }
    current.relay();
    Channels.writeAndFlush(connection.channel(), Unpooled.EMPTY_BUFFER);
  }

  void drop(int attemptNumber) {
    ServerAttempt current = current(attemptNumber);
    if (current != null) {
      current.drop();
      attempt = Optional.empty();
      events.ifPresent(EventSplitter::release);
    }
  }

  void refuse(Refusal refusal) {
    if (!isOver && !hasBegun) {
      hasBegun = true;
      end();
      boolean isLast = connection.isLast();
      Channels.writeAndFlush(connection.channel(), refusalResponse(refusal, isLast));
      connection.answered(this);
    }
  }

  /**
   * Ends the exchange so that the caller sees an answer that is not whole. Where none of it was
   * written yet, the caller is told so instead.
   */
  void breakOff(String detail) {
    if (!isOver && !hasBegun) {
      refuse(new Refusal(RefusalReason.CONNECTION_LOST, detail, Outcome.UNKNOWN, Optional.empty()));
    } else if (!isOver) {
      end();
      connection.failed(this);
    }
  }

  /** Counts the open attempt as broken where its server has been silent for too long. */
  void checkStall() {
    long silence = context.nowMicros() - receivedAtMicros;
    boolean isStalled =
        connection.channel().isWritable()
            && stallMicros.filter(limit -> silence > limit).isPresent();
    if (isStalled && attempt.isPresent()) {
      ServerAttempt silent = attempt.get();
      stallMicros = Optional.empty();
      silent.drop();
      broken(silent, false, "the server fell silent within the stream");
    }
  }

  /** Ends the exchange because the caller has left. */
  void abandon() {
    end();
  }

  /** Stops or restarts reading from the server as the caller reads. */
  void writabilityChanged(boolean isWritable) {
    attempt.ifPresent(open -> open.pause(!isWritable));
  }

  @Override
  public boolean isAwaited() {
    return !isOver && Channels.isOpenAfterReading(connection.channel());
  }

  @Override
  public void unsent(ServerAttempt ended, String detail) {
    deliver(ended, new ForwardEvent.Unsent(number, ended.number(), detail));
  }

  @Override
  public void answered(ServerAttempt open, HttpResponse head) {
    if (isCurrent(open)) {
      answer = Optional.of(head);
      context
          .events()
          .deliver(
              new ForwardEvent.Answered(number, open.number(), context.form().readAnswer(head)));
    }
  }

  @Override
  public void received(ServerAttempt open, HttpContent content) {
    try {
      if (isCurrent(open) && content.content().isReadable()) {
        pass(content.content());
      }
    } finally {
      ReferenceCountUtil.release(content);
    }
  }

  @Override
  public void completed(ServerAttempt ended) {
    if (!isCurrent(ended)) {
      return;
    }
    if (events.filter(EventSplitter::holdsPartialEvent).isPresent()) {
      broken(ended, false, "the stream ended within an event");
      return;
    }
    Channels.writeAndFlush(connection.channel(), LastHttpContent.EMPTY_LAST_CONTENT);
    context.events().deliver(new ForwardEvent.Completed(number, ended.number()));
    end();
    connection.answered(this);
  }

  @Override
  public void broken(ServerAttempt ended, boolean isReset, String detail) {
    Optional<Long> lastEvent = events.flatMap(EventSplitter::lastEvent);
    deliver(ended, new ForwardEvent.Broken(number, ended.number(), isReset, detail, lastEvent));
    events.ifPresent(EventSplitter::release);
  }

  private void deliver(ServerAttempt ended, ForwardEvent event) {
    if (isCurrent(ended)) {
      attempt = Optional.empty();
      context.events().deliver(event);
    }
  }

  private void begin(HttpResponse head) {
    hasBegun = true;
    HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, head.status());
    response.headers().set(context.form().toCaller(head));
    String type = head.headers().get(HttpHeaderNames.CONTENT_TYPE, "");
    boolean isEventStream = type.toLowerCase(Locale.ROOT).startsWith(EVENT_STREAM);
    if (isEventStream) {
      events =
          Optional.of(
              new EventSplitter(
                  connection.channel().alloc(),
                  attempt.flatMap(open -> open.dispatch().resumesAfter())));
    }
    if (isEventStream || !HttpUtil.isContentLengthSet(head)) {
      HttpUtil.setTransferEncodingChunked(response, true);
    } else {
      response
          .headers()
          .set(HttpHeaderNames.CONTENT_LENGTH, head.headers().get(HttpHeaderNames.CONTENT_LENGTH));
    }
    if (connection.isLast()) {
      response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
    Channels.write(connection.channel(), response);
  }

  private void pass(ByteBuf bytes) {
    if (events.isEmpty()) {
      receivedAtMicros = context.nowMicros();
      Channels.writeAndFlush(connection.channel(), new DefaultHttpContent(bytes.retain()));
      return;
    }
    ByteBuf whole;
    try {
      whole = events.get().cut(bytes);
    } catch (IllegalArgumentException e) {
      attempt.ifPresent(
          open -> {
            open.drop();
            broken(open, false, String.valueOf(e.getMessage()));
          });
      return;
    }
    if (whole.isReadable()) {
      // Bytes that never make up an event are no progress.
      receivedAtMicros = context.nowMicros();
      Channels.writeAndFlush(connection.channel(), new DefaultHttpContent(whole));
    } else {
      whole.release();
    }
  }

  private FullHttpResponse refusalResponse(Refusal refusal, boolean isLast) {
    FullHttpResponse response =
        RefusalResponse.of(
            new RequestId(request.typed().id()), refusal, isLast, connection.channel().alloc());
    response.headers().set(CallerHeaders.OUTCOME, refusal.outcome().headerValue());
    refusal
        .retryAtMicros()
        .ifPresent(at -> response.headers().set(HttpHeaderNames.RETRY_AFTER, secondsUntil(at)));
    return response;
  }

  private String secondsUntil(long atMicros) {
    double seconds = Math.max(0, atMicros - context.nowMicros()) / MICROS_PER_SECOND;
    return String.format(Locale.ROOT, "%.3f", seconds);
  }

  private ServerAttempt current(int attemptNumber) {
    return attempt.filter(open -> open.number() == attemptNumber).orElse(null);
  }

  private boolean isCurrent(ServerAttempt candidate) {
    return !isOver && attempt.filter(open -> open == candidate).isPresent();
  }

  private void end() {
    isOver = true;
    attempt.ifPresent(ServerAttempt::drop);
    attempt = Optional.empty();
    events.ifPresent(EventSplitter::release);
    request.body().release();
    context.ended(this);
  }
}
