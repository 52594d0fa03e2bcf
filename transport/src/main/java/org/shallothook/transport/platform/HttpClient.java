package org.shallothook.transport.platform;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.NetUtil;
import java.util.Optional;
import java.util.function.Consumer;
import org.shallothook.coordination.port.Counters;
import org.shallothook.transport.Channels;
import org.shallothook.transport.ConnectionKind;

/**
 * Small HTTP/1.1 client, which reports whether a failed request was sent.
 *
 * <pre>{@code
 * client.send(HttpCall.get(address, "/v1/status", timeout), result -> ...);
 * }</pre>
 *
 * <p>Invariant: {@link HttpResult.NotSent} is reported only if no byte of the request was written.
 * A response names no request, so each call has a connection of its own, unless it accepts the
 * answer to an earlier call with the same request line. Thread-safe; results are delivered on the
 * client's event loop.
 */
public final class HttpClient {
  private final EventLoop loop;
  private final HttpSettings settings;
  private final IdleConnections idle;
  private final ResponseBuffers buffers;

  /**
   * Creates a client without connections.
   *
   * @param loop event loop of all connections
   * @param settings limits and timeouts
   * @param counters counts connections that are closed because of surplus data
   */
  public HttpClient(EventLoop loop, HttpSettings settings, Counters counters) {
    this.loop = loop;
    this.settings = settings;
    this.idle = new IdleConnections(settings, counters);
    this.buffers = new ResponseBuffers(settings.maximumBufferedBytes());
  }

  /** Returns the event loop that results are delivered on. */
  EventLoop loop() {
    return loop;
  }

  /** Sends a request and buffers the response, which must be UTF-8 text. */
  public void send(HttpCall call, Consumer<HttpResult> result) {
    send(call, new BufferedResponse(settings.maximumResponseBytes(), buffers, result));
  }

  /** Sends a request and buffers the response as bytes. */
  public void sendForBytes(HttpCall call, Consumer<HttpResult> result) {
    send(call, BufferedResponse.ofBytes(settings.maximumResponseBytes(), buffers, result));
  }

  private void send(HttpCall call, BufferedResponse response) {
    HttpExchange exchange = new HttpExchange(call, response, false, this::releaseConnection);
    response.setExchange(exchange);
    loop.execute(() -> open(exchange));
  }

  /** Sends a request and passes the response to the handler as it arrives. */
  HttpExchange stream(HttpCall call, HttpStreamHandler handler) {
    HttpExchange exchange = new HttpExchange(call, handler, true, this::releaseConnection);
    loop.execute(() -> open(exchange));
    return exchange;
  }

  private void open(HttpExchange exchange) {
    HttpCall call = exchange.call();
    if (exchange.hasEnded()) {
      return;
    }
    if (call.acceptsEarlierAnswer()) {
      Optional<Channel> pooled = idle.acquire(call.requestLine());
      if (pooled.isPresent()) {
        write(pooled.get(), exchange);
        return;
      }
    }
    ChannelFuture connecting =
        Channels.client(loop, ConnectionKind.PLATFORM, settings.connectTimeout(), channel -> {})
            .connect(call.address());
    connecting.addListener(
        done -> {
          if (!done.isSuccess()) {
            exchange.failBeforeSending(String.valueOf(done.cause().getMessage()));
          } else if (exchange.hasEnded()) {
            Channels.close(connecting.channel());
          } else {
            write(connecting.channel(), exchange);
          }
        });
  }

  private void write(Channel channel, HttpExchange exchange) {
    FullHttpRequest request;
    try {
      request = request(exchange.call());
    } catch (IllegalArgumentException e) {
      Channels.close(channel);
      exchange.failBeforeSending(String.valueOf(e.getMessage()));
      return;
    }
    channel.pipeline().addLast(new HttpClientCodec(), exchange);
    exchange.attach(channel);
    channel
        .writeAndFlush(request)
        .addListener(
            done -> {
              if (done.isSuccess()) {
                exchange.onRequestWritten();
              } else {
                exchange.failAfterSending(String.valueOf(done.cause().getMessage()));
              }
            });
  }

  private void releaseConnection(HttpExchange exchange) {
    exchange
        .channel()
        .ifPresent(
            channel -> {
              channel.pipeline().remove(exchange);
              idle.release(exchange.call().requestLine(), channel);
            });
  }

  private static FullHttpRequest request(HttpCall call) {
    ByteBuf body =
        call.body()
            .map(bytes -> Unpooled.wrappedBuffer(bytes.duplicate()))
            .orElse(Unpooled.EMPTY_BUFFER);
    FullHttpRequest request =
        new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, call.method(), call.uri(), body);
    call.headers().forEach(request.headers()::set);
    request.headers().set(HttpHeaderNames.HOST, NetUtil.toSocketAddressString(call.address()));
    request.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
    return request;
  }
}
