package org.shallothook.transport.admin;

import io.netty.buffer.ByteBufUtil;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletionStage;
import org.shallothook.transport.Channels;
import org.shallothook.transport.logging.LogComponent;

/**
 * One connection to the admin port. Carries one request.
 *
 * <p>Used on the loop of the admin port alone.
 */
final class AdminConnection extends SimpleChannelInboundHandler<FullHttpRequest> {
  private static final AdminAnswer NOT_FOUND =
      AdminAnswer.json(
          404,
          "{\"error\":\"There is nothing at this path. See docs/OPERATORS.md for the paths.\"}");
  private static final AdminAnswer FAILED =
      AdminAnswer.json(500, "{\"error\":\"The request failed. Read the log of this process.\"}");

  private final Map<HttpMethod, Map<String, AdminHandler>> handlers;

  AdminConnection(Map<HttpMethod, Map<String, AdminHandler>> handlers) {
    this.handlers = handlers;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
    String uri = request.uri();
    int query = uri.indexOf('?');
    String path = query < 0 ? uri : uri.substring(0, query);
    Optional<Map.Entry<String, AdminHandler>> handler = find(request.method(), path);
    if (request.decoderResult().isFailure() || handler.isEmpty()) {
      write(context, NOT_FOUND);
      return;
    }
    String rest = path.substring(handler.get().getKey().length());
    AdminRequest typed =
        new AdminRequest(
            rest.startsWith("/") ? rest.substring(1) : rest,
            query < 0 ? "" : uri.substring(query + 1),
            Optional.ofNullable(request.headers().get(HttpHeaderNames.ACCEPT)),
            request.content().toString(StandardCharsets.UTF_8));
    answer(context, handler.get().getValue(), typed);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    LogComponent.ADMIN.debug("A connection failed: {}.", cause.getMessage());
    Channels.close(context);
  }

  private Optional<Map.Entry<String, AdminHandler>> find(HttpMethod method, String path) {
    return handlers.getOrDefault(method, Map.of()).entrySet().stream()
        .filter(entry -> path.equals(entry.getKey()) || path.startsWith(entry.getKey() + "/"))
        .findFirst();
  }

  private static void answer(
      ChannelHandlerContext context, AdminHandler handler, AdminRequest request) {
    try {
      CompletionStage<AdminAnswer> unused =
          handler
              .handle(request)
              .whenComplete(
                  (answer, failure) -> write(context, failure == null ? answer : failed(failure)));
    } catch (RuntimeException e) {
      write(context, failed(e));
    }
  }

  private static AdminAnswer failed(Throwable failure) {
    LogComponent.ADMIN.error(failure, "A request failed.");
    return FAILED;
  }

  private static void write(ChannelHandlerContext context, AdminAnswer answer) {
    FullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(answer.status()),
            ByteBufUtil.writeUtf8(context.alloc(), answer.body()));
    response.headers().set(HttpHeaderNames.CONTENT_TYPE, answer.contentType());
    response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
    response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    context.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
  }
}
