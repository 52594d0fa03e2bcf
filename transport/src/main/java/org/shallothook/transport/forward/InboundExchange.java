package org.shallothook.transport.forward;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.Locale;
import java.util.Optional;
import org.shallothook.coordination.forward.Dispatch;
import org.shallothook.coordination.forward.ForwardEvent;
import org.shallothook.state.request.Outcome;
import org.shallothook.state.request.Refusal;
import org.shallothook.state.request.RefusalReason;
import org.shallothook.state.request.RequestId;
import org.shallothook.transport.Channels;

/**
 * A request from a caller, from its last byte to the end of its response.
 *
 * <p>Invariant: at most one response head is written to the caller, and the response is terminated
 * properly only if it is complete. Confined to the event loop.
 */
final class InboundExchange implements ServerAttempt.Owner {
  private static final String EVENT_STREAM = "text/event-stream";

  /** Memory that a header field of a received response needs, however short it is. */
  private static final long HEADER_FIELD_BYTES = 200;

  /** The caller connection of an exchange. */
  interface Connection {
    Channel channel();

    /** Called when the complete response is written; the connection may open the next request. */
    void onResponseCompleted(InboundExchange exchange);

    /** Called when the response cannot be completed; the connection must be closed. */
    void onResponseFailed(InboundExchange exchange);

    /**
     * Decides, as a response begins, whether its caller is told that it is the last one on the
     * connection.
     */
    boolean decideLastResponse();
  }

  private final long number;
  private final OutboundRequest request;
  private final ForwardContext context;
  private final Connection connection;
  private Optional<ServerAttempt> attempt = Optional.empty();
  private Optional<HttpResponse> responseHead = Optional.empty();
  private Optional<EventSplitter> eventSplitter = Optional.empty();
  private boolean hasStartedResponse;
  private boolean hasOutputStarted;
  private boolean hasEnded;
  private Optional<Long> stallMicros = Optional.empty();
  private long lastProgressMicros;
  private boolean isReadingPaused;

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

  /** Returns whether a part of a response was written to the caller. */
  boolean hasStartedResponse() {
    return hasStartedResponse;
  }

  void send(int attemptNumber, Dispatch dispatch) {
    if (hasEnded) {
      return;
    }
    ServerAttempt next = new ServerAttempt(attemptNumber, dispatch, request, this);
    attempt = Optional.of(next);
    hasOutputStarted = false;
    stallMicros = Optional.empty();
    context.servers().send(next);
  }

  void relay(int attemptNumber, Optional<Long> newStallMicros) {
    stallMicros = newStallMicros;
    lastProgressMicros = context.nowMicros();
    ServerAttempt current = currentAttempt(attemptNumber);
    if (current == null || hasEnded) {
      return;
    }
    if (!hasStartedResponse) {
      startResponse(responseHead.orElseThrow());
    } else if (eventSplitter.isEmpty() || !isEventStream(responseHead.orElseThrow())) {
      failAttempt("the response of the next server does not continue the stream");
      return;
    }
    current.relay();
    if (!hasEnded) {
      connection.channel().flush();
    }
  }

  void drop(int attemptNumber) {
    ServerAttempt current = currentAttempt(attemptNumber);
    if (current != null) {
      current.drop();
      attempt = Optional.empty();
      eventSplitter.ifPresent(EventSplitter::release);
    }
  }

  void refuse(Refusal refusal) {
    if (!hasEnded && !hasStartedResponse) {
      hasStartedResponse = true;
      finish();
      boolean isLast = connection.decideLastResponse();
      Channels.writeAndFlush(connection.channel(), refusalResponse(refusal, isLast));
      connection.onResponseCompleted(this);
    }
  }

  /**
   * Ends the exchange without completing its response: closes the connection, so that the caller
   * can see that the response is incomplete. Sends a refusal instead if the response has not
   * started.
   */
  void breakOff(String detail) {
    if (!hasEnded && !hasStartedResponse) {
      refuse(new Refusal(RefusalReason.CONNECTION_LOST, detail, Outcome.UNKNOWN, Optional.empty()));
    } else if (!hasEnded) {
      finish();
      connection.onResponseFailed(this);
    }
  }

  /** Reports that the server of the current attempt has made no progress for too long. */
  void checkStall() {
    if (isStalled()) {
      attempt.ifPresent(
          open -> context.events().deliver(new ForwardEvent.Stalled(number, open.number())));
    }
  }

  /** Fails an attempt whose server has still made no progress. */
  void giveUp(int attemptNumber) {
    if (currentAttempt(attemptNumber) != null && isStalled()) {
      stallMicros = Optional.empty();
      failAttempt("the server sent nothing within the stall timeout of the stream");
    }
  }

  private boolean isStalled() {
    long inactiveMicros = context.nowMicros() - lastProgressMicros;
    return connection.channel().isWritable()
        && stallMicros.filter(limit -> inactiveMicros > limit).isPresent();
  }

  /** Ends the exchange because the caller has disconnected. */
  void abandon() {
    finish();
  }

  /** Returns the memory that the response needs until it is written to the caller, in bytes. */
  long heldBytes() {
    return responseHead.map(head -> head.headers().size() * HEADER_FIELD_BYTES).orElse(0L)
        + attempt.map(ServerAttempt::heldBytes).orElse(0L)
        + eventSplitter.map(EventSplitter::partialBytes).orElse(0);
  }

  /** Pauses or resumes reading from the server according to the writability of the caller. */
  void writabilityChanged(boolean isWritable) {
    attempt.ifPresent(open -> open.pause(!isWritable || isReadingPaused));
  }

  /** Pauses or resumes reading from the server, in addition to the writability of the caller. */
  void pauseReading(boolean shouldPause) {
    if (isReadingPaused != shouldPause) {
      isReadingPaused = shouldPause;
      writabilityChanged(connection.channel().isWritable());
    }
  }

  /** Fails the current attempt and releases what it holds. */
  void failAttempt(String detail) {
    attempt.ifPresent(
        open -> {
          open.drop();
          onBroken(open, false, detail);
        });
  }

  @Override
  public boolean isCallerWaiting() {
    return !hasEnded && Channels.isOpenAfterReading(connection.channel());
  }

  @Override
  public void onUnsent(ServerAttempt ended, String detail) {
    deliver(ended, new ForwardEvent.Unsent(number, ended.number(), detail));
  }

  @Override
  public void onResponseHead(ServerAttempt open, HttpResponse head) {
    if (isCurrent(open)) {
      responseHead = Optional.of(head);
      context
          .events()
          .deliver(
              new ForwardEvent.ResponseReceived(
                  number, open.number(), context.form().parseResponseHead(head)));
    }
  }

  @Override
  public void onResponseContent(ServerAttempt open, HttpContent content) {
    try {
      if (isCurrent(open) && content.content().isReadable()) {
        relayContent(content.content());
      }
    } finally {
      ReferenceCountUtil.release(content);
    }
  }

  @Override
  public void onReadCompleted(ServerAttempt open) {
    if (isCurrent(open) && hasStartedResponse) {
      connection.channel().flush();
    }
  }

  @Override
  public void onResponseCompleted(ServerAttempt ended) {
    if (!isCurrent(ended)) {
      return;
    }
    boolean endsWithConnection = responseHead.filter(InboundExchange::hasNoFraming).isPresent();
    if (eventSplitter.filter(EventSplitter::holdsPartialEvent).isPresent()) {
      onBroken(ended, endsWithConnection, "the stream ended in the middle of a server-sent event");
      return;
    }
    if (endsWithConnection && isEmptyStream(ended)) {
      onBroken(ended, true, "the stream ended before its first event");
      return;
    }
    Channels.writeAndFlush(connection.channel(), LastHttpContent.EMPTY_LAST_CONTENT);
    context.events().deliver(new ForwardEvent.Completed(number, ended.number()));
    finish();
    connection.onResponseCompleted(this);
  }

  @Override
  public void onBroken(ServerAttempt ended, boolean isReset, String detail) {
    if (isCurrent(ended) && hasStartedResponse) {
      connection.channel().flush();
    }
    Optional<Long> lastEventId = eventSplitter.flatMap(EventSplitter::lastEventId);
    deliver(
        ended,
        new ForwardEvent.Broken(
            number, ended.number(), isReset, detail, lastEventId, lastProgressMicros));
    eventSplitter.ifPresent(EventSplitter::release);
  }

  private void deliver(ServerAttempt ended, ForwardEvent event) {
    if (isCurrent(ended)) {
      attempt = Optional.empty();
      context.events().deliver(event);
    }
  }

  private void startResponse(HttpResponse head) {
    hasStartedResponse = true;
    HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, head.status());
    response.headers().set(context.form().toCaller(head));
    boolean hasBody = hasBody(head.status());
    boolean isEventStream = hasBody && isEventStream(head);
    if (isEventStream) {
      eventSplitter =
          Optional.of(
              new EventSplitter(
                  connection.channel().alloc(),
                  attempt.flatMap(open -> open.dispatch().resumesAfter())));
    }
    if (isEventStream || (hasBody && !HttpUtil.isContentLengthSet(head))) {
      HttpUtil.setTransferEncodingChunked(response, true);
    } else if (HttpUtil.isContentLengthSet(head)) {
      response
          .headers()
          .set(HttpHeaderNames.CONTENT_LENGTH, head.headers().get(HttpHeaderNames.CONTENT_LENGTH));
    }
    if (connection.decideLastResponse()) {
      response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
    Channels.write(connection.channel(), response);
  }

  private void relayContent(ByteBuf bytes) {
    if (eventSplitter.isEmpty()) {
      lastProgressMicros = context.nowMicros();
      Channels.write(connection.channel(), new DefaultHttpContent(bytes.retain()));
      return;
    }
    ByteBuf completeEvents;
    try {
      completeEvents = eventSplitter.get().split(bytes);
    } catch (IllegalArgumentException e) {
      failAttempt(String.valueOf(e.getMessage()));
      return;
    }
    if (eventSplitter.get().hasCompletedData()) {
      // Nothing else counts as progress, so that a server cannot avoid the stall timeout by sending
      // blank lines, comments, or an event that never ends.
      lastProgressMicros = context.nowMicros();
      notifyOutputStarted();
    }
    if (completeEvents.isReadable()) {
      Channels.write(connection.channel(), new DefaultHttpContent(completeEvents));
    } else {
      completeEvents.release();
    }
  }

  /** Returns whether a response with the given status has a body, which callers know as well. */
  private boolean hasBody(HttpResponseStatus status) {
    return !HttpMethod.HEAD.equals(request.method())
        && !HttpResponseStatus.NO_CONTENT.equals(status)
        && !HttpResponseStatus.NOT_MODIFIED.equals(status);
  }

  private static boolean isEventStream(HttpResponse head) {
    String type = head.headers().get(HttpHeaderNames.CONTENT_TYPE, "");
    return HttpResponseStatus.OK.equals(head.status())
        && type.toLowerCase(Locale.ROOT).startsWith(EVENT_STREAM);
  }

  /** Returns whether the body of a response ends where its connection is closed. */
  private static boolean hasNoFraming(HttpResponse head) {
    return !HttpUtil.isContentLengthSet(head) && !HttpUtil.isTransferEncodingChunked(head);
  }

  private boolean isEmptyStream(ServerAttempt ended) {
    return eventSplitter.isPresent()
        && !hasOutputStarted
        && ended.dispatch().resumesAfter().isEmpty();
  }

  private void notifyOutputStarted() {
    if (!hasOutputStarted) {
      hasOutputStarted = true;
      attempt.ifPresent(
          open -> context.events().deliver(new ForwardEvent.OutputStarted(number, open.number())));
    }
  }

  private FullHttpResponse refusalResponse(Refusal refusal, boolean isLast) {
    FullHttpResponse response =
        RefusalResponse.of(
            new RequestId(request.parsedHead().id()),
            refusal,
            isLast,
            connection.channel().alloc(),
            context.nowMicros());
    if (!hasBody(response.status())) {
      response.content().clear();
    }
    return response;
  }

  private ServerAttempt currentAttempt(int attemptNumber) {
    return attempt.filter(open -> open.number() == attemptNumber).orElse(null);
  }

  private boolean isCurrent(ServerAttempt candidate) {
    return !hasEnded && attempt.filter(open -> open == candidate).isPresent();
  }

  private void finish() {
    hasEnded = true;
    attempt.ifPresent(ServerAttempt::drop);
    attempt = Optional.empty();
    eventSplitter.ifPresent(EventSplitter::release);
    request.body().release();
    context.remove(this);
  }
}
