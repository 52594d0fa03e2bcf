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
import org.shallothook.transport.Channels;

/**
 * Small HTTP/1.1 client that keeps a few connections and says whether a failed call was sent.
 *
 * <pre>{@code
 * client.send(HttpCall.get(address, "/v1/status", timeout), result -> ...);
 * }</pre>
 *
 * <p>Invariant: {@link HttpResult.NotSent} is said only where no byte of the call was written.
 * Thread-safe; results come on the loop of the client.
 */
public final class HttpClient {
  private final EventLoop loop;
  private final HttpSettings settings;
  private final IdleConnections idle;

  /**
   * Creates a client without connections.
   *
   * @param loop loop that all connections run on
   * @param settings limits and timeouts
   */
  public HttpClient(EventLoop loop, HttpSettings settings) {
    this.loop = loop;
    this.settings = settings;
    this.idle = new IdleConnections(settings);
  }

  /** Returns the loop that results come on. */
  EventLoop loop() {
    return loop;
  }

  /** Sends a call whose answer is taken as a whole. */
  public void send(HttpCall call, Consumer<HttpResult> result) {
    send(call, new WholeAnswer(settings.maximumAnswerBytes(), result));
  }

  /** Sends a call whose answer is taken as a whole and may hold any bytes. */
  public void sendForBytes(HttpCall call, Consumer<HttpResult> result) {
    send(call, WholeAnswer.ofBytes(settings.maximumAnswerBytes(), result));
  }

  private void send(HttpCall call, WholeAnswer answer) {
    HttpExchange exchange = new HttpExchange(call, answer, false, this::keep);
    answer.setExchange(exchange);
    loop.execute(() -> open(exchange));
  }

  /** Sends a call whose answer is taken as it arrives. */
  HttpExchange stream(HttpCall call, HttpStreamHandler handler) {
    HttpExchange exchange = new HttpExchange(call, handler, true, this::keep);
    loop.execute(() -> open(exchange));
    return exchange;
  }

  private void open(HttpExchange exchange) {
    HttpCall call = exchange.call();
    if (exchange.hasEnded()) {
      return;
    }
    if (call.isRepeatable()) {
      Optional<Channel> kept = idle.take(call.address());
      if (kept.isPresent()) {
        write(kept.get(), exchange);
        return;
      }
    }
    ChannelFuture connecting =
        Channels.client(
                loop,
                settings.connectTimeout(),
                channel -> channel.pipeline().addLast(new HttpClientCodec()))
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
    channel.pipeline().addLast(exchange);
    exchange.attach(channel);
    channel
        .writeAndFlush(request)
        .addListener(
            done -> {
              if (!done.isSuccess()) {
                exchange.failAfterSending(String.valueOf(done.cause().getMessage()));
              }
            });
  }

  private void keep(HttpExchange exchange) {
    exchange
        .channel()
        .ifPresent(
            channel -> {
              channel.pipeline().remove(exchange);
              idle.keep(exchange.call().address(), channel);
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
