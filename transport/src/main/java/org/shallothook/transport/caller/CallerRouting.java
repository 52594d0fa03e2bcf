package org.shallothook.transport.caller;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.vavr.control.Either;
import java.util.Optional;
import org.shallothook.coordination.router.RouterEvent;
import org.shallothook.protocol.caller.CallerHeaders;
import org.shallothook.protocol.caller.CallerProtocolError;
import org.shallothook.protocol.caller.ChatRequestForm;
import org.shallothook.protocol.caller.ServicePath;
import org.shallothook.protocol.json.JsonDocument;
import org.shallothook.state.request.Refusal;
import org.shallothook.state.request.RefusalReason;
import org.shallothook.state.request.RequestId;

/**
 * Turns requests of callers into events by method and path.
 *
 * <p>Stateless and thread-safe.
 */
final class CallerRouting {
  private static final String CHAT = "/v1/chat/completions";
  private static final String MODELS = "/v1/models";

  private CallerRouting() {}

  /** Returns the event of a request, or the refusal that answers it. */
  static Either<Refusal, RouterEvent> eventOf(RequestId id, CallerRequest request) {
    String path = request.path();
    if (request.isMethod(HttpMethod.POST) && path.equals(CHAT)) {
      return chat(id, request);
    }
    if (request.isMethod(HttpMethod.GET) && path.equals(MODELS)) {
      return Either.right(new RouterEvent.ModelsRequested(id, key(request)));
    }
    Optional<ServicePath> service = ServicePath.of(path);
    if (request.isMethod(HttpMethod.POST) && service.isPresent() && !request.hasQuery()) {
      return call(id, request, service.get());
    }
    return Either.left(
        Refusal.notRun(RefusalReason.NOT_FOUND, "There is nothing at this method and path."));
  }

  private static Either<Refusal, RouterEvent> chat(RequestId id, CallerRequest request) {
    ChatRequestForm.Headers headers =
        new ChatRequestForm.Headers(
            key(request),
            request.header(CallerHeaders.TENANT),
            request.header(CallerHeaders.DEADLINE));
    return body(request)
        .flatMap(body -> ChatRequestForm.read(id, headers, body))
        .mapLeft(CallerProtocolError::toRefusal)
        .map(RouterEvent.class::cast);
  }

  private static Either<Refusal, RouterEvent> call(
      RequestId id, CallerRequest request, ServicePath target) {
    return body(request)
        .mapLeft(CallerProtocolError::toRefusal)
        .map(
            body ->
                new RouterEvent.CallRequested(
                    id,
                    key(request),
                    target.service(),
                    target.path(),
                    request.header(CallerHeaders.IDEMPOTENCY_KEY),
                    request.contentType(),
                    body));
  }

  private static Either<CallerProtocolError, String> body(CallerRequest request) {
    return JsonDocument.decodeText(request.body()).mapLeft(CallerProtocolError.MalformedBody::new);
  }

  private static String key(CallerRequest request) {
    return CallerHeaders.keyOf(request.header(HttpHeaderNames.AUTHORIZATION));
  }
}
