package org.shallothook.transport.caller;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.vavr.control.Either;
import java.util.Optional;
import org.shallothook.coordination.router.RouterEvent;
import org.shallothook.protocol.caller.CallerHeaders;
import org.shallothook.protocol.caller.CallerProtocolError;
import org.shallothook.protocol.caller.ChatRequestParser;
import org.shallothook.protocol.caller.ServicePath;
import org.shallothook.protocol.json.JsonDocument;
import org.shallothook.state.request.Refusal;
import org.shallothook.state.request.RefusalReason;
import org.shallothook.state.request.RequestId;

/**
 * Maps requests of callers to events for the decision thread by method and path.
 *
 * <p>Stateless and thread-safe.
 */
final class CallerRouting {
  private static final String CHAT = "/v1/chat/completions";
  private static final String MODELS = "/v1/models";

  private CallerRouting() {}

  /** Returns the event for a request, or a refusal if nothing serves its method and path. */
  static Either<Refusal, RouterEvent> toEvent(RequestId id, CallerRequest request) {
    String path = request.path();
    if (request.isMethod(HttpMethod.POST) && path.equals(CHAT)) {
      return Either.right(chat(id, request));
    }
    if (request.isMethod(HttpMethod.GET) && path.equals(MODELS)) {
      return Either.right(new RouterEvent.ModelsRequested(id, key(request)));
    }
    Optional<ServicePath> service = ServicePath.of(path);
    if (request.isMethod(HttpMethod.POST) && service.isPresent() && !request.hasQuery()) {
      return Either.right(call(id, request, service.get()));
    }
    return Either.left(
        Refusal.notRun(RefusalReason.NOT_FOUND, "No endpoint has this method and path."));
  }

  /** Returns the team's API key as sent in a request; empty if there is none. */
  static String keyOf(HttpRequest head) {
    return CallerHeaders.bearerToken(
        Optional.ofNullable(head.headers().get(HttpHeaderNames.AUTHORIZATION)));
  }

  private static RouterEvent chat(RequestId id, CallerRequest request) {
    ChatRequestParser.Headers headers =
        new ChatRequestParser.Headers(
            key(request),
            request.header(CallerHeaders.TENANT),
            request.header(CallerHeaders.DEADLINE));
    return body(request)
        .flatMap(body -> ChatRequestParser.read(id, headers, body))
        .<RouterEvent>map(chat -> chat)
        .getOrElseGet(error -> unreadable(id, request, error));
  }

  private static RouterEvent call(RequestId id, CallerRequest request, ServicePath target) {
    return body(request)
        .<RouterEvent>map(
            body ->
                new RouterEvent.CallRequested(
                    id,
                    key(request),
                    target.service(),
                    target.path(),
                    request.header(CallerHeaders.IDEMPOTENCY_KEY),
                    request.contentType(),
                    body))
        .getOrElseGet(error -> unreadable(id, request, error));
  }

  /**
   * Returns the event for an unreadable body. The decision thread checks the key first, because
   * only a caller with a valid key is told what is wrong with its body.
   */
  private static RouterEvent unreadable(
      RequestId id, CallerRequest request, CallerProtocolError error) {
    return new RouterEvent.MalformedRequested(id, key(request), error.toRefusal());
  }

  private static Either<CallerProtocolError, String> body(CallerRequest request) {
    return JsonDocument.decodeText(request.body()).mapLeft(CallerProtocolError.MalformedBody::new);
  }

  private static String key(CallerRequest request) {
    return keyOf(request.head());
  }
}
