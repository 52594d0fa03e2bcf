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
import org.shallothook.transport.admin.AdminAnswer;
import org.shallothook.transport.admin.AdminJson;
import org.shallothook.transport.admin.AdminRequest;
import org.shallothook.transport.admin.AdminServer;
import org.shallothook.transport.decision.DecisionThread;
import org.shallothook.transport.process.Clock;

/**
 * Pages and orders of the router's admin port.
 *
 * <p>Invariant: the core is asked on its decision thread alone. Thread-safe.
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
        .get("/status", request -> shown(core::status))
        .get("/explain", this::explain)
        .get("/history", request -> shown(core::configurationHistory))
        .get("/templates", this::template)
        .get("/in-force", request -> shown(() -> new InForce(core.configurationInForce())))
        .post("/publish", this::publish);
  }

  private CompletionStage<AdminAnswer> shown(Supplier<Object> question) {
    return thread.ask(question).thenApply(value -> AdminAnswer.ok(AdminJson.write(value)));
  }

  private CompletionStage<AdminAnswer> explain(AdminRequest request) {
    if (request.path().isBlank()) {
      return CompletableFuture.completedFuture(
          refused(BAD_REQUEST, "Name a request: /explain/REQUEST_ID."));
    }
    RequestId id = new RequestId(request.path());
    return thread
        .ask(() -> core.explain(id))
        .thenApply(
            found ->
                found
                    .map(explanation -> AdminAnswer.ok(AdminJson.write(explanation)))
                    .orElse(refused(NOT_FOUND, "Unknown here; ask the router that took it.")));
  }

  private CompletionStage<AdminAnswer> template(AdminRequest request) {
    return thread
        .ask(() -> core.templateSource(request.path()))
        .thenApply(
            source ->
                source
                    .map(text -> new AdminAnswer(200, "text/plain; charset=utf-8", text))
                    .orElse(refused(NOT_FOUND, "No such template is in force; see /history.")));
  }

  private CompletionStage<AdminAnswer> publish(AdminRequest request) {
    PublishForm form;
    try {
      form = AdminJson.read(request.body(), PublishForm.class);
    } catch (RuntimeException e) {
      return CompletableFuture.completedFuture(
          refused(BAD_REQUEST, "Send the JSON form of shallothook-router publish."));
    }
    if (form == null || form.template() == null || form.change() == null) {
      return CompletableFuture.completedFuture(
          refused(BAD_REQUEST, "Name the template and the change."));
    }
    CompletableFuture<PublicationResult> result = new CompletableFuture<>();
    ChangeRequest change =
        new ChangeRequest(
            form.change(),
            form.template(),
            Optional.ofNullable(form.source()),
            Optional.ofNullable(form.base()));
    return thread
        .ask(
            () -> {
              core.publish(change, result::complete, Clock.nowMicros());
              return change;
            })
        .thenCompose(started -> result)
        .thenApply(ended -> AdminAnswer.ok(AdminJson.write(PublishAnswer.of(ended))));
  }

  private static AdminAnswer refused(int status, String remedy) {
    return AdminAnswer.json(status, AdminJson.write(Map.of("error", remedy)));
  }
}
