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
 * One connection to the admin port, which is closed after one request.
 *
 * <p>Invariant: further requests are dropped, as their responses could come before the first's.
 * Used only on the event loop of the admin port.
 */
final class AdminConnection extends SimpleChannelInboundHandler<FullHttpRequest> {
  private static final AdminResponse NOT_FOUND =
      AdminResponse.json(
          404, "{\"error\":\"This path does not exist. See docs/OPERATORS.md for the paths.\"}");
  private static final AdminResponse FAILED =
      AdminResponse.json(500, "{\"error\":\"The request failed. See the log of this process.\"}");

  private final Map<HttpMethod, Map<String, AdminHandler>> handlers;
  private boolean hasRequest;

  AdminConnection(Map<HttpMethod, Map<String, AdminHandler>> handlers) {
    this.handlers = handlers;
  }

  @Override
  protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
    String uri = request.uri();
    if (hasRequest) {
      LogComponent.ADMIN.debug("A further request on an admin connection was dropped: {}.", uri);
      return;
    }
    hasRequest = true;
    int queryStart = uri.indexOf('?');
    String path = queryStart < 0 ? uri : uri.substring(0, queryStart);
    Optional<Map.Entry<String, AdminHandler>> handler = findHandler(request.method(), path);
    if (request.decoderResult().isFailure() || handler.isEmpty()) {
      write(context, NOT_FOUND);
      return;
    }
    String subpath = path.substring(handler.get().getKey().length());
    AdminRequest adminRequest =
        new AdminRequest(
            subpath.startsWith("/") ? subpath.substring(1) : subpath,
            queryStart < 0 ? "" : uri.substring(queryStart + 1),
            Optional.ofNullable(request.headers().get(HttpHeaderNames.ACCEPT)),
            request.content().toString(StandardCharsets.UTF_8));
    invoke(context, handler.get().getValue(), adminRequest);
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    LogComponent.ADMIN.debug("An admin connection failed: {}.", cause.getMessage());
    Channels.close(context);
  }

  private Optional<Map.Entry<String, AdminHandler>> findHandler(HttpMethod method, String path) {
    return handlers.getOrDefault(method, Map.of()).entrySet().stream()
        .filter(entry -> path.equals(entry.getKey()) || path.startsWith(entry.getKey() + "/"))
        .findFirst();
  }

  private static void invoke(
      ChannelHandlerContext context, AdminHandler handler, AdminRequest request) {
    try {
      CompletionStage<AdminResponse> unused =
          handler
              .handle(request)
              .whenComplete(
                  (response, failure) ->
                      write(context, failure == null ? response : failed(failure)));
    } catch (RuntimeException e) {
      write(context, failed(e));
    }
  }

  private static AdminResponse failed(Throwable failure) {
    LogComponent.ADMIN.error(failure, "An admin request failed.");
    return FAILED;
  }

  private static void write(ChannelHandlerContext context, AdminResponse response) {
    FullHttpResponse httpResponse =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(response.status()),
            ByteBufUtil.writeUtf8(context.alloc(), response.body()));
    httpResponse.headers().set(HttpHeaderNames.CONTENT_TYPE, response.contentType());
    httpResponse
        .headers()
        .setInt(HttpHeaderNames.CONTENT_LENGTH, httpResponse.content().readableBytes());
    httpResponse.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    context.writeAndFlush(httpResponse).addListener(ChannelFutureListener.CLOSE);
  }
}
