package org.shallothook.transport.forward;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.Optional;
import org.shallothook.transport.Channels;

/**
 * One connection to a server, with at most one exchange at a time.
 *
 * <p>Invariant: a connection on which anything arrived that belongs to no request, or whose request
 * was not written whole before its answer ended, carries no further request. Used on the loop
 * alone.
 */
final class ServerLink extends ChannelInboundHandlerAdapter {
  /** What a connection tells the pool that it belongs to. */
  interface Pool {
    /** The connection may carry the next request. */
    void free(ServerLink link);

    /** The connection is closed. */
    void closed(ServerLink link);
  }

  /** Interim and foreign heads that may come before the answer. */
  private static final int MOST_SKIPPED_HEADS = 32;

  /** Bytes of foreign answers that may come before the answer. */
  private static final long MOST_SKIPPED_BYTES = 1 << 20;

  private final Pool pool;
  private final RequestForm form;
  private final String address;
  private Channel channel;
  private Optional<ServerAttempt> current = Optional.empty();
  private Optional<Long> keptMillis = Optional.empty();
  private long freeSinceNanos = System.nanoTime();
  private boolean isSkipping;
  private boolean isTainted;
  private boolean isWritten;
  private boolean isKept;
  private boolean hasHead;
  private int skippedHeads;
  private long skippedBytes;

  ServerLink(Pool pool, RequestForm form, String address) {
    this.pool = pool;
    this.form = form;
    this.address = address;
  }

  String address() {
    return address;
  }

  boolean isActive() {
    return channel != null && channel.isActive();
  }

  /** Returns when the connection was last used, on the steady clock. */
  long freeSinceNanos() {
    return freeSinceNanos;
  }

  /** Returns how long the server keeps the connection, in milliseconds, if it has said so. */
  Optional<Long> keptMillis() {
    return keptMillis;
  }

  /** Writes a request. The connection must be free. */
  void send(ServerAttempt attempt, long nowMicros) {
    current = Optional.of(attempt);
    hasHead = false;
    skippedHeads = 0;
    skippedBytes = 0;
    isWritten = false;
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
    boolean hasLength = request.body().isReadable() || !request.isRead();
    if (hasLength) {
      message.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, request.body().readableBytes());
    }
    channel.config().setAutoRead(true);
    channel
        .writeAndFlush(message)
        .addListener(
            done -> {
              if (done.isSuccess()) {
                isWritten = true;
              } else {
                breakCurrent(true, "writing failed: " + done.cause().getMessage());
              }
            });
  }

  /** Gives up the open exchange by closing the connection, which makes the server stop. */
  void abandon() {
    current = Optional.empty();
    close();
  }

  void pause(boolean shouldPause) {
    channel.config().setAutoRead(!shouldPause);
  }

  void close() {
    isTainted = true;
    Channels.close(channel);
  }

  @Override
  public void handlerAdded(ChannelHandlerContext context) {
    channel = context.channel();
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (!(message instanceof HttpObject part) || part.decoderResult().isFailure()) {
      ReferenceCountUtil.release(message);
      breakCurrent(false, "the answer is not HTTP");
      close();
    } else if (current.isEmpty()) {
      ReferenceCountUtil.release(message);
      close();
    } else {
      take(current.get(), part);
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    breakCurrent(true, "the server closed the connection");
    pool.closed(this);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    breakCurrent(true, String.valueOf(cause.getMessage()));
    close();
  }

  private void take(ServerAttempt attempt, HttpObject part) {
    if (part instanceof HttpResponse head) {
      boolean isInterim = head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
      boolean isForeign = !isInterim && !form.belongsTo(head, attempt.request().typed());
      isSkipping = isInterim || isForeign;
      isTainted |= isForeign;
      skippedHeads += isSkipping ? 1 : 0;
      if (!isSkipping) {
        onHead(attempt, head);
      }
    }
    if (isSkipping && part instanceof HttpContent content) {
      skippedBytes += content.content().readableBytes();
    }
    if (skippedHeads > MOST_SKIPPED_HEADS || skippedBytes > MOST_SKIPPED_BYTES) {
      ReferenceCountUtil.release(part);
      breakCurrent(false, "the server sends what belongs to no request");
    } else if (part instanceof HttpContent content) {
      onContent(attempt, content);
    }
  }

  private void onHead(ServerAttempt attempt, HttpResponse head) {
    hasHead = true;
    isKept =
        HttpUtil.isKeepAlive(head)
            && (HttpUtil.isContentLengthSet(head) || HttpUtil.isTransferEncodingChunked(head));
    keptMillis = form.keptMillis(head);
    attempt.onHead(head);
  }

  private void onContent(ServerAttempt attempt, HttpContent content) {
    boolean isLast = content instanceof LastHttpContent;
    if (isSkipping) {
      ReferenceCountUtil.release(content);
      isSkipping = !isLast;
      return;
    }
    if (!hasHead) {
      ReferenceCountUtil.release(content);
      return;
    }
    attempt.onContent(content);
    if (isLast && current.isPresent()) {
      current = Optional.empty();
      attempt.onWhole();
      endExchange();
    }
  }

  private void endExchange() {
    if (isKept && isWritten && !isTainted && channel.isActive()) {
      freeSinceNanos = System.nanoTime();
      channel.config().setAutoRead(true);
      pool.free(this);
    } else {
      close();
    }
  }

  private void breakCurrent(boolean isReset, String detail) {
    Optional<ServerAttempt> attempt = current;
    current = Optional.empty();
    attempt.ifPresent(
        open -> {
          close();
          open.onBroken(isReset, detail);
        });
  }
}
