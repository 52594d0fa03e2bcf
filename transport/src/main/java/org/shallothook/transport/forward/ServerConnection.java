package org.shallothook.transport.forward;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.PrematureChannelClosureException;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import net.openhft.hashing.LongHashFunction;
import org.shallothook.transport.Channels;

/**
 * A connection to a server, with at most one exchange at a time.
 *
 * <p>Invariant: a connection carries each request identifier at most once, so that the identifier
 * in a response also tells which attempt it answers. It carries either HEAD requests or none, so
 * that the end of a response is known whichever request it answers. It is not reused after it
 * received data that belongs to no request, or after a response that ended before its request was
 * completely written. A response that ends with the connection is complete only if its request was
 * completely written before, as the end may be that of a reset which a write has noticed first.
 * Confined to the event loop.
 */
final class ServerConnection extends ChannelInboundHandlerAdapter
    implements StrictResponseDecoder.Requests {
  /** The pool that owns the connection. */
  interface Pool {
    /** Called when the connection can be reused for another request. */
    void release(ServerConnection connection);

    /** Called when the connection is closed. */
    void onClosed(ServerConnection connection);

    /**
     * Called with the head of a response that is not taken as the response to the current request.
     */
    void onUnexpected(
        ServerConnection connection, UnexpectedResponse unexpected, HttpResponse head);

    /** Called when a part of a response has arrived on an idle connection, which is then closed. */
    void onSurplusBytes(ServerConnection connection);
  }

  /**
   * Maximum number of skipped heads: of interim (1xx) responses and of other requests' responses.
   */
  private static final int MAXIMUM_SKIPPED_HEADS = 32;

  /**
   * Requests after which a connection is closed, which bounds the identifiers that it remembers.
   */
  private static final int MAXIMUM_REQUESTS = 128;

  private static final LongHashFunction HASH = LongHashFunction.xx3();

  private final Pool pool;
  private final HeaderTranslation form;
  private final String address;

  /** Hashes of the identifiers, which are of any length. */
  private final Set<Long> carriedRequests = new HashSet<>();

  private final SkippedBodies skippedBodies = new SkippedBodies();
  private Channel channel;
  private Optional<ServerAttempt> currentAttempt = Optional.empty();
  private Optional<Long> keepAliveMillis = Optional.empty();
  private long idleSinceNanos = System.nanoTime();
  private boolean carriesHeads;
  private boolean isSkipping;
  private boolean mustClose;
  private boolean isRequestWritten;
  private boolean isPersistent;
  private boolean endsWithConnection;
  private boolean hasResponseHead;
  private long lastSentNanos = System.nanoTime();
  private int skippedHeads;

  ServerConnection(Pool pool, HeaderTranslation form, String address) {
    this.pool = pool;
    this.form = form;
    this.address = address;
  }

  /** Adds the connection and its codec to the pipeline of a new channel. */
  void addTo(ChannelPipeline pipeline) {
    pipeline.addLast(new StrictResponseDecoder(this), new HttpRequestEncoder(), this);
  }

  String address() {
    return address;
  }

  boolean isActive() {
    return channel != null && channel.isActive();
  }

  /** Returns whether the idle connection is open, and no response has arrived on it unasked. */
  boolean isOpenAfterReading() {
    return Channels.isOpenAfterReading(channel);
  }

  /**
   * Returns whether the connection may carry a request. If it has carried the same request before,
   * a second response to that attempt could not be told from the response to the next one.
   */
  boolean mayCarry(OutboundRequest request) {
    boolean isSameKind = carriedRequests.isEmpty() || isHead(request) == carriesHeads;
    return isSameKind && !carriedRequests.contains(HASH.hashChars(request.parsedHead().id()));
  }

  /** Returns when the connection became idle, by {@link System#nanoTime}. */
  long idleSinceNanos() {
    return idleSinceNanos;
  }

  /** Returns the identifier of the request that waits for a response. */
  Optional<String> waitingRequest() {
    return currentAttempt.map(attempt -> attempt.request().parsedHead().id());
  }

  /** Returns the number of requests that were sent over the connection. */
  int sentRequests() {
    return carriedRequests.size();
  }

  /** Returns when the last request was sent, by {@link System#nanoTime}. */
  long lastSentNanos() {
    return lastSentNanos;
  }

  /** Returns the server's keep-alive timeout in milliseconds, if it has announced one. */
  Optional<Long> keepAliveMillis() {
    return keepAliveMillis;
  }

  /** Writes a request. The connection must be idle. */
  void send(ServerAttempt attempt, long nowMicros) {
    currentAttempt = Optional.of(attempt);
    carriedRequests.add(HASH.hashChars(attempt.request().parsedHead().id()));
    carriesHeads = isHead(attempt.request());
    mustClose |= carriedRequests.size() >= MAXIMUM_REQUESTS;
    lastSentNanos = System.nanoTime();
    hasResponseHead = false;
    skippedHeads = 0;
    skippedBodies.reset();
    isRequestWritten = false;
    attempt.attach(this);
    OutboundRequest request = attempt.request();
    HttpHeaders headers = form.toServer(request.original(), attempt.dispatch(), nowMicros);
    FullHttpRequest message =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1,
            request.method(),
            request.original().uri(),
            request.body().retainedDuplicate());
    message.headers().set(headers);
    boolean hasLength = request.body().isReadable() || !request.hasSafeMethod();
    if (hasLength) {
      message.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, request.body().readableBytes());
    }
    channel.config().setAutoRead(true);
    channel
        .writeAndFlush(message)
        .addListener(
            future -> {
              if (future.isSuccess()) {
                isRequestWritten = true;
              } else {
                failCurrentAttempt(
                    true, "writing the request failed: " + future.cause().getMessage());
              }
            });
  }

  /** Abandons the open exchange by closing the connection, which makes the server stop working. */
  void abandon() {
    currentAttempt = Optional.empty();
    close();
  }

  void pause(boolean shouldPause) {
    channel.config().setAutoRead(!shouldPause);
  }

  void close() {
    mustClose = true;
    Channels.close(channel);
  }

  @Override
  public boolean isResponseDue() {
    return currentAttempt.isPresent();
  }

  @Override
  public boolean areHeads() {
    return carriesHeads;
  }

  @Override
  public void onSurplusBytes() {
    pool.onSurplusBytes(this);
    close();
  }

  @Override
  public void handlerAdded(ChannelHandlerContext context) {
    channel = context.channel();
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (!(message instanceof HttpObject part) || part.decoderResult().isFailure()) {
      ReferenceCountUtil.release(message);
      failCurrentAttempt(isCutShort(message), "the response is not valid HTTP");
      close();
    } else if (currentAttempt.isEmpty()) {
      if (part instanceof HttpResponse head) {
        pool.onUnexpected(this, UnexpectedResponse.NOT_REQUESTED, head);
      }
      ReferenceCountUtil.release(message);
      close();
    } else {
      onResponsePart(currentAttempt.get(), part);
    }
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext context) {
    currentAttempt.ifPresent(ServerAttempt::onReadCompleted);
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    failCurrentAttempt(true, "the server closed the connection");
    pool.onClosed(this);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    failCurrentAttempt(true, String.valueOf(cause.getMessage()));
    close();
  }

  /** Returns whether the server closed the connection in the middle of a message. */
  private static boolean isCutShort(Object message) {
    return message instanceof HttpObject part
        && part.decoderResult().cause() instanceof PrematureChannelClosureException;
  }

  private static boolean isHead(OutboundRequest request) {
    return HttpMethod.HEAD.equals(request.method());
  }

  private void onResponsePart(ServerAttempt attempt, HttpObject part) {
    if (part instanceof HttpResponse head && !startResponse(attempt, head)) {
      ReferenceCountUtil.release(part);
      failCurrentAttempt(false, "the server sent a response to an unknown request");
      return;
    }
    if (isSkipping && part instanceof HttpContent content) {
      skippedBodies.add(content.content(), content instanceof LastHttpContent);
    }
    if (skippedHeads > MAXIMUM_SKIPPED_HEADS || skippedBodies.isTooLarge()) {
      ReferenceCountUtil.release(part);
      failCurrentAttempt(false, "the server sent too many responses that belong to no request");
    } else if (skippedBodies.containsResponse()) {
      ReferenceCountUtil.release(part);
      failCurrentAttempt(false, "the response of another request hides one");
    } else if (part instanceof HttpContent content) {
      onContent(attempt, content);
    }
  }

  /**
   * Begins a response, which is skipped if it is interim or belongs to another request. Returns
   * false if it cannot be told which request it belongs to.
   */
  private boolean startResponse(ServerAttempt attempt, HttpResponse head) {
    if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
      skipResponse();
      return true;
    }
    Optional<String> id = form.requestIdOf(head);
    // A server may refuse a request before it has read all of it, and then omit the identifier.
    boolean isUnnamedRefusal =
        id.isEmpty() && carriedRequests.size() == 1 && form.parseResponseHead(head).isNotRun();
    boolean isNamed = id.filter(attempt.request().parsedHead().id()::equals).isPresent();
    if (isNamed || isUnnamedRefusal) {
      isSkipping = false;
      onHead(attempt, head);
      return true;
    }
    UnexpectedResponse unexpected =
        id.map(this::unexpectedKind).orElse(UnexpectedResponse.NO_IDENTIFIER);
    pool.onUnexpected(this, unexpected, head);
    skipResponse();
    mustClose = true;
    return unexpected == UnexpectedResponse.OTHER_REQUEST;
  }

  private UnexpectedResponse unexpectedKind(String id) {
    return carriedRequests.contains(HASH.hashChars(id))
        ? UnexpectedResponse.OTHER_REQUEST
        : UnexpectedResponse.UNKNOWN_REQUEST;
  }

  private void skipResponse() {
    isSkipping = true;
    skippedHeads++;
  }

  private void onHead(ServerAttempt attempt, HttpResponse head) {
    hasResponseHead = true;
    boolean isFramed =
        HttpUtil.isContentLengthSet(head) || HttpUtil.isTransferEncodingChunked(head);
    isPersistent = HttpUtil.isKeepAlive(head) && isFramed;
    endsWithConnection = !isFramed && !carriesHeads && hasBody(head.status());
    keepAliveMillis = form.keepAliveMillis(head);
    attempt.onHead(head);
  }

  private void onContent(ServerAttempt attempt, HttpContent content) {
    boolean isLast = content instanceof LastHttpContent;
    if (isSkipping) {
      ReferenceCountUtil.release(content);
      isSkipping = !isLast;
      return;
    }
    if (!hasResponseHead) {
      ReferenceCountUtil.release(content);
      return;
    }
    if (isLast && endsWithConnection && !isRequestWritten) {
      ReferenceCountUtil.release(content);
      failCurrentAttempt(true, "the connection ended before the request was written");
      return;
    }
    attempt.onContent(content);
    if (isLast && currentAttempt.isPresent()) {
      currentAttempt = Optional.empty();
      attempt.onResponseComplete();
      endExchange();
    }
  }

  private static boolean hasBody(HttpResponseStatus status) {
    return !HttpResponseStatus.NO_CONTENT.equals(status)
        && !HttpResponseStatus.NOT_MODIFIED.equals(status);
  }

  private void endExchange() {
    if (isPersistent && isRequestWritten && !mustClose && channel.isActive()) {
      idleSinceNanos = System.nanoTime();
      channel.config().setAutoRead(true);
      pool.release(this);
    } else {
      close();
    }
  }

  private void failCurrentAttempt(boolean isReset, String detail) {
    Optional<ServerAttempt> attempt = currentAttempt;
    currentAttempt = Optional.empty();
    attempt.ifPresent(
        open -> {
          close();
          open.onBroken(isReset, detail);
        });
  }
}
