package org.shallothook.coordination.router;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.shallothook.coordination.membership.Upstream;
import org.shallothook.coordination.message.PeerMessage.Call;
import org.shallothook.state.configuration.ServiceTemplate;
import org.shallothook.state.configuration.TeamTemplate;
import org.shallothook.state.request.AttemptId;
import org.shallothook.state.request.Outcome;
import org.shallothook.state.request.Refusal;

/**
 * An open call to a plain service.
 *
 * <p>Invariant: a call that may not be repeated is sent to one upstream at a time, and is never
 * sent again once it may have run. Not thread-safe.
 */
final class CallExchange extends Exchange {
  private final RouterEvent.CallRequested request;
  private final ServiceTemplate service;
  private final long configurationOffset;
  private final List<String> plan;
  private final Deque<Upstream> remainingUpstreams;

  CallExchange(
      RouterEvent.CallRequested request,
      TeamTemplate team,
      ServiceTemplate service,
      List<Upstream> order,
      long configurationOffset,
      long arrivedAtMicros,
      long deadlineMicros) {
    super(request.request(), team, arrivedAtMicros, deadlineMicros);
    this.request = request;
    this.service = service;
    this.configurationOffset = configurationOffset;
    this.plan = order.stream().map(Upstream::name).toList();
    this.remainingUpstreams = new ArrayDeque<>(order);
  }

  boolean isRepeatable() {
    return service.isRepeatable(request.path());
  }

  /** Returns the upstreams that the call has not been sent to, the preferred first. */
  Deque<Upstream> remainingUpstreams() {
    return remainingUpstreams;
  }

  Call callMessage(AttemptId attempt) {
    return new Call(
        attempt,
        team().name(),
        service.name(),
        request.path(),
        request.idempotencyKey(),
        request.contentType(),
        request.body(),
        isRepeatable(),
        service.checksFencing(),
        deadlineMicros());
  }

  @Override
  Explanation explain(
      Outcome finalOutcome, Optional<Refusal> refusal, long endedAtMicros, String end) {
    return new Explanation(
        id(),
        team().name(),
        service.name() + "/" + request.path(),
        arrivedAtMicros(),
        deadlineMicros(),
        configurationOffset,
        0,
        "",
        plan,
        explainAttempts(),
        explainRetries(),
        finalOutcome,
        refusal,
        endedAtMicros,
        end);
  }
}
