package org.shallothook.sidecar;

import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import org.shallothook.coordination.message.PeerMessage;
import org.shallothook.coordination.sidecar.SidecarCore;
import org.shallothook.coordination.sidecar.SidecarEvent;
import org.shallothook.coordination.sidecar.SidecarLoad;
import org.shallothook.state.request.RequestId;
import org.shallothook.transport.admin.AdminJson;
import org.shallothook.transport.admin.AdminRequest;
import org.shallothook.transport.admin.AdminResponse;
import org.shallothook.transport.admin.AdminServer;
import org.shallothook.transport.decision.DecisionThread;

/**
 * Request handlers of the sidecar's admin port.
 *
 * <p>Invariant: the core is accessed only on its decision thread. Thread-safe.
 */
final class SidecarAdmin {
  private final SidecarCore core;
  private final DecisionThread<SidecarEvent> thread;

  SidecarAdmin(SidecarCore core, DecisionThread<SidecarEvent> thread) {
    this.core = core;
    this.thread = thread;
  }

  void addTo(AdminServer admin) {
    admin
        .get("/status", request -> respondWith(() -> new Status(core.status(), core.load())))
        .get("/explain", this::explain);
  }

  private CompletionStage<AdminResponse> explain(AdminRequest request) {
    return respondWith(
        () ->
            request.path().isBlank()
                ? core.recentAttempts()
                : core.explain(new RequestId(request.path())));
  }

  private CompletionStage<AdminResponse> respondWith(Supplier<Object> query) {
    return thread.query(query).thenApply(value -> AdminResponse.ok(AdminJson.write(value)));
  }

  /** JSON response of {@code /status}. Immutable and thread-safe. */
  private record Status(PeerMessage.SidecarStatus upstream, SidecarLoad load) {}
}
