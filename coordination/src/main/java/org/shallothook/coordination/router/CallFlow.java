package org.shallothook.coordination.router;

import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.shallothook.coordination.configuration.ConfigurationReplica;
import org.shallothook.coordination.membership.Upstream;
import org.shallothook.coordination.membership.UpstreamDirectory;
import org.shallothook.coordination.message.PeerMessage.CallAnswer;
import org.shallothook.coordination.message.PeerMessage.Failed;
import org.shallothook.coordination.placement.RendezvousHash;
import org.shallothook.coordination.retry.RetryReason;
import org.shallothook.state.configuration.ServiceTemplate;
import org.shallothook.state.configuration.TeamTemplate;
import org.shallothook.state.request.AttemptId;
import org.shallothook.state.request.Outcome;
import org.shallothook.state.request.Refusal;
import org.shallothook.state.request.RefusalReason;

/**
 * Handles calls to plain services, from admission to their end.
 *
 * <p>Repeats of a call are routed to the same sidecar as long as the set of servers stays the same.
 * Sidecars detect duplicates that reach different sidecars.
 *
 * <p>Invariant: a call is sent again only if it has not run or may be repeated. Not thread-safe.
 */
final class CallFlow {
  private static final long RETRY_AFTER_MICROS = 1_000_000;

  private final RouterOptions options;
  private final RetryPlanner retries;
  private final RouterOutbox outbox;
  private final RequestTable table;
  private final RequestScreening screening;
  private final UpstreamDirectory directory;
  private final ConfigurationReplica configuration;

  CallFlow(
      RouterOptions options,
      RetryPlanner retries,
      RouterOutbox outbox,
      RequestTable table,
      RequestScreening screening,
      UpstreamDirectory directory,
      ConfigurationReplica configuration) {
    this.options = options;
    this.retries = retries;
    this.outbox = outbox;
    this.table = table;
    this.screening = screening;
    this.directory = directory;
    this.configuration = configuration;
  }

  void onRequested(RouterEvent.CallRequested request, long nowMicros) {
    Either<Refusal, TeamTemplate> team =
        screening.authenticate(request.request(), request.key(), nowMicros);
    Either<Refusal, ServiceTemplate> service =
        team.flatMap(template -> screening.admit(request, template));
    if (service.isLeft()) {
      String name = team.map(TeamTemplate::name).getOrElse("");
      table.refuseUnadmitted(
          request.request(), name, request.service(), service.getLeft(), nowMicros);
      return;
    }
    CallExchange exchange =
        new CallExchange(
            request,
            team.get(),
            service.get(),
            rankServers(request, team.get(), nowMicros),
            configuration.state().offset(),
            nowMicros,
            nowMicros + options.callWaitMicros());
    table.add(exchange);
    sendNext(
        exchange, RefusalReason.NO_UPSTREAM, "No server of the service is available.", nowMicros);
  }

  void onAnswer(CallAnswer answer, long nowMicros) {
    Optional<CallExchange> exchange = findOpen(answer.attempt());
    if (exchange.isEmpty()) {
      options.counters().increment("answers.late");
      return;
    }
    exchange.get().find(answer.attempt()).get().end("answered " + answer.status(), nowMicros);
    retries.onSuccess(nowMicros);
    table.complete(
        exchange.get(),
        new RouterCommand.AnswerCall(
            exchange.get().id(), answer.status(), answer.contentType(), answer.body()),
        nowMicros);
  }

  void onFailed(Failed failed, long nowMicros) {
    Optional<CallExchange> found = findOpen(failed.attempt());
    if (found.isEmpty()) {
      options.counters().increment("answers.late");
      return;
    }
    CallExchange exchange = found.get();
    Attempt attempt = exchange.find(failed.attempt()).get();
    attempt.end("failed: " + failed.reason().code() + " " + failed.detail(), nowMicros);
    if (failed.outcome() != Outcome.NOT_RUN) {
      exchange.setMayHaveRun();
    }
    if (failed.reason() == RefusalReason.UPSTREAM_LEAVING) {
      attempt.upstream().onLeaving();
    }
    Optional<RetryReason> retry = RetryReason.after(failed.reason(), failed.outcome());
    if (retry.isEmpty()) {
      refuse(exchange, failed.reason(), failed.detail(), failed.retryAtMicros(), nowMicros);
      return;
    }
    retry(exchange, retry.get(), failed.reason(), failed.detail(), nowMicros);
  }

  void onPeerDown(CallExchange exchange, String peer, boolean wasConnected, long nowMicros) {
    for (Attempt attempt : exchange.openAttempts()) {
      if (!attempt.upstream().name().equals(peer)) {
        continue;
      }
      attempt.end(wasConnected ? "connection lost" : "unreachable", nowMicros);
      if (wasConnected) {
        exchange.setMayHaveRun();
        retry(
            exchange,
            RetryReason.CONNECTION_LOST,
            RefusalReason.CONNECTION_LOST,
            "The connection to " + peer + " was lost.",
            nowMicros);
      } else {
        retry(
            exchange,
            RetryReason.UPSTREAM_UNREACHABLE,
            RefusalReason.NO_UPSTREAM,
            "No connection to " + peer + " could be opened.",
            nowMicros);
      }
    }
  }

  void onCallerGone(CallExchange exchange, long nowMicros) {
    table.abandon(exchange, nowMicros);
  }

  void onTick(CallExchange exchange, long nowMicros) {
    if (nowMicros < exchange.deadlineMicros()) {
      return;
    }
    exchange.setMayHaveRun();
    refuse(
        exchange,
        RefusalReason.DEADLINE_PASSED,
        "The service did not respond before the deadline.",
        nowMicros + RETRY_AFTER_MICROS,
        nowMicros);
  }

  private List<Upstream> rankServers(
      RouterEvent.CallRequested request, TeamTemplate team, long nowMicros) {
    String affinity = request.idempotencyKey().orElse(request.request().value());
    long key = RendezvousHash.hashOf(team.name() + "/" + request.service() + "/" + affinity);
    List<Upstream> servers = new ArrayList<>(directory.servers(request.service(), nowMicros));
    servers.sort(
        (first, second) ->
            Long.compareUnsigned(
                RendezvousHash.weight(key, second.hash()),
                RendezvousHash.weight(key, first.hash())));
    return servers;
  }

  private void retry(
      CallExchange exchange,
      RetryReason reason,
      RefusalReason finalReason,
      String detail,
      long nowMicros) {
    boolean isSafe = !exchange.mayHaveRun() || exchange.isRepeatable();
    if (!isSafe || retries.tryAcquire(exchange, reason, nowMicros) != RetryPlanner.Decision.NOW) {
      refuse(exchange, finalReason, detail, nowMicros + RETRY_AFTER_MICROS, nowMicros);
      return;
    }
    sendNext(exchange, finalReason, detail, nowMicros);
  }

  private void sendNext(
      CallExchange exchange, RefusalReason finalReason, String detail, long nowMicros) {
    Upstream upstream = exchange.remainingUpstreams().poll();
    while (upstream != null && !upstream.isUsable(nowMicros)) {
      upstream = exchange.remainingUpstreams().poll();
    }
    if (upstream == null) {
      refuse(exchange, finalReason, detail, nowMicros + RETRY_AFTER_MICROS, nowMicros);
      return;
    }
    Attempt attempt = exchange.open(upstream, exchange.attempts().size(), 0, false, nowMicros);
    attempt.onSubmitted(nowMicros);
    outbox.send(upstream.name(), exchange.callMessage(attempt.id()));
  }

  private void refuse(
      CallExchange exchange,
      RefusalReason reason,
      String detail,
      long retryAtMicros,
      long nowMicros) {
    Optional<Long> retryAt =
        retryAtMicros > nowMicros ? Optional.of(retryAtMicros) : Optional.empty();
    table.refuse(exchange, new Refusal(reason, detail, exchange.outcome(), retryAt), nowMicros);
  }

  private Optional<CallExchange> findOpen(AttemptId id) {
    return table
        .findCall(id.request())
        .filter(call -> call.find(id).filter(Attempt::isOpen).isPresent());
  }
}
