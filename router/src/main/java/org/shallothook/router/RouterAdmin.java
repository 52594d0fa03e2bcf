package org.shallothook.router;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import org.shallothook.coordination.configuration.ChangeRequest;
import org.shallothook.coordination.configuration.PublicationResult;
import org.shallothook.coordination.router.RouterCore;
import org.shallothook.coordination.router.RouterEvent;
import org.shallothook.state.request.RequestId;
import org.shallothook.transport.admin.AdminJson;
import org.shallothook.transport.admin.AdminRequest;
import org.shallothook.transport.admin.AdminResponse;
import org.shallothook.transport.admin.AdminServer;
import org.shallothook.transport.decision.DecisionThread;
import org.shallothook.transport.process.Clock;

/**
 * Request handlers of the router's admin port.
 *
 * <p>Invariant: the core is accessed only on its decision thread. Thread-safe.
 */
final class RouterAdmin {
  private static final int BAD_REQUEST = 400;
  private static final int NOT_FOUND = 404;

  private final RouterCore core;
  private final DecisionThread<RouterEvent> thread;

  RouterAdmin(RouterCore core, DecisionThread<RouterEvent> thread) {
    this.core = core;
    this.thread = thread;
  }

  void addTo(AdminServer admin) {
    admin
        .get("/status", request -> respondWith(core::status))
        .get("/explain", this::explain)
        .get("/history", request -> respondWith(core::configurationHistory))
        .get("/templates", this::template)
        .get(
            "/in-force",
            request -> respondWith(() -> new AppliedOffsets(core.appliedConfigurationOffsets())))
        .post("/publish", this::publish);
  }

  private CompletionStage<AdminResponse> respondWith(Supplier<Object> query) {
    return thread.query(query).thenApply(value -> AdminResponse.ok(AdminJson.write(value)));
  }

  private CompletionStage<AdminResponse> explain(AdminRequest request) {
    if (request.path().isBlank()) {
      return CompletableFuture.completedFuture(
          errorResponse(BAD_REQUEST, "The request id is missing; use /explain/REQUEST_ID."));
    }
    RequestId id = new RequestId(request.path());
    return thread
        .query(() -> core.explain(id))
        .thenApply(
            found ->
                found
                    .map(explanation -> AdminResponse.ok(AdminJson.write(explanation)))
                    .orElse(
                        errorResponse(
                            NOT_FOUND, "Unknown request; query the router that received it.")));
  }

  private CompletionStage<AdminResponse> template(AdminRequest request) {
    return thread
        .query(() -> core.templateSource(request.path()))
        .thenApply(
            source ->
                source
                    .map(text -> new AdminResponse(200, "text/plain; charset=utf-8", text))
                    .orElse(
                        errorResponse(NOT_FOUND, "No such template is in force; see /history.")));
  }

  private CompletionStage<AdminResponse> publish(AdminRequest request) {
    PublishRequest publication;
    try {
      publication = AdminJson.read(request.body(), PublishRequest.class);
    } catch (RuntimeException e) {
      return CompletableFuture.completedFuture(
          errorResponse(
              BAD_REQUEST,
              "The body is not valid JSON of a publication; use shallothook-router publish."));
    }
    if (publication == null || publication.template() == null || publication.change() == null) {
      return CompletableFuture.completedFuture(
          errorResponse(BAD_REQUEST, "The fields template and change are required."));
    }
    CompletableFuture<PublicationResult> result = new CompletableFuture<>();
    ChangeRequest change =
        new ChangeRequest(
            publication.change(),
            publication.template(),
            Optional.ofNullable(publication.source()),
            Optional.ofNullable(publication.base()));
    return thread
        .query(
            () -> {
              core.publish(change, result::complete, Clock.nowMicros());
              return change;
            })
        .thenCompose(submitted -> result)
        .thenApply(outcome -> AdminResponse.ok(AdminJson.write(PublishResponse.of(outcome))));
  }

  private static AdminResponse errorResponse(int status, String error) {
    return AdminResponse.json(status, AdminJson.write(Map.of("error", error)));
  }
}
