package org.shallothook.coordination.sidecar;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.shallothook.coordination.booking.AtMostOnceCalls;
import org.shallothook.coordination.message.PeerMessage;
import org.shallothook.coordination.port.Counters;
import org.shallothook.state.request.AttemptId;
import org.shallothook.state.request.Outcome;
import org.shallothook.state.request.RefusalReason;

/**
 * Forwards calls from routers to the service next to the sidecar.
 *
 * <p>Calls that may not be repeated go through {@link AtMostOnceCalls}, which claims them first.
 *
 * <p>Invariant: a call is reported as not run only if no byte of it reached the service. Not
 * thread-safe: used on the decision thread.
 */
final class ServiceCalls {
  private final SidecarOptions options;
  private final SidecarOutbox outbox;
  private final Counters counters;
  private final AtMostOnceCalls calls;
  private final Map<AttemptId, String> routersByAttempt = new LinkedHashMap<>();

  ServiceCalls(
      SidecarOptions options, SidecarOutbox outbox, Counters counters, AtMostOnceCalls calls) {
    this.calls = calls;
    this.options = options;
    this.outbox = outbox;
    this.counters = counters;
  }

  boolean isIdle() {
    return routersByAttempt.isEmpty() && calls.isIdle();
  }

  void onCall(String router, PeerMessage.Call call, boolean isLeaving, long nowMicros) {
    Optional<RefusalReason> refusal = refusal(call, isLeaving, nowMicros);
    if (refusal.isPresent()) {
      fail(router, call.attempt(), refusal.get(), Outcome.NOT_RUN, "The call was not dispatched.");
      return;
    }
    if (!call.isRepeatable()) {
      calls.onCall(router, call, nowMicros);
    } else if (routersByAttempt.putIfAbsent(call.attempt(), router) == null) {
      outbox.command(
          new SidecarCommand.CallService(
              call.attempt(),
              call.path(),
              call.idempotencyKey(),
              Optional.empty(),
              call.contentType(),
              call.body()));
    }
  }

  void onAnswered(SidecarEvent.ServiceAnswered event, long nowMicros) {
    if (calls.onAnswered(
        event.attempt(), event.status(), event.contentType(), event.body(), nowMicros)) {
      return;
    }
    String router = routersByAttempt.remove(event.attempt());
    if (router == null) {
      counters.increment("calls.late-answers");
      return;
    }
    counters.increment("calls.answered");
    outbox.send(
        router,
        new PeerMessage.CallAnswer(
            event.attempt(), event.status(), event.contentType(), event.body()));
  }

  void onFailed(SidecarEvent.ServiceFailed event, long nowMicros) {
    if (calls.onFailed(event.attempt(), event.hasReachedService(), nowMicros)) {
      return;
    }
    String router = routersByAttempt.remove(event.attempt());
    if (router == null) {
      counters.increment("calls.late-answers");
    } else if (event.hasReachedService()) {
      fail(
          router,
          event.attempt(),
          RefusalReason.CONNECTION_LOST,
          Outcome.UNKNOWN,
          "The service did not answer.");
    } else {
      fail(
          router,
          event.attempt(),
          RefusalReason.NO_UPSTREAM,
          Outcome.NOT_RUN,
          "The service was not reached.");
    }
  }

  void onRouterGone(String router) {
    routersByAttempt.values().removeIf(router::equals);
    calls.onRouterGone(router);
  }

  private Optional<RefusalReason> refusal(
      PeerMessage.Call call, boolean isLeaving, long nowMicros) {
    if (isLeaving) {
      return Optional.of(RefusalReason.UPSTREAM_LEAVING);
    }
    if (!call.service().equals(options.service())) {
      return Optional.of(RefusalReason.UNKNOWN_SERVICE);
    }
    return call.deadlineMicros() <= nowMicros
        ? Optional.of(RefusalReason.DEADLINE_PASSED)
        : Optional.empty();
  }

  private void fail(
      String router, AttemptId attempt, RefusalReason reason, Outcome outcome, String detail) {
    counters.increment("failures." + reason.code());
    outbox.send(router, new PeerMessage.Failed(attempt, reason, outcome, detail, 0));
  }
}
