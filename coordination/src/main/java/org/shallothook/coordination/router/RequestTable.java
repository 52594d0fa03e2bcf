package org.shallothook.coordination.router;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.shallothook.coordination.port.Counters;
import org.shallothook.state.request.AttemptId;
import org.shallothook.state.request.Outcome;
import org.shallothook.state.request.Refusal;
import org.shallothook.state.request.RequestId;

/**
 * All open requests, and the explanations of recently finished ones.
 *
 * <p>Invariant: a request ends once, with exactly one final response unless its caller has
 * disconnected. Not thread-safe.
 */
final class RequestTable {
  private final RouterOutbox outbox;
  private final Counters counters;
  private final RecentExplanations recent;
  private final Map<RequestId, Exchange> open = new LinkedHashMap<>();
  private final Map<String, Integer> openByTeam = new HashMap<>();

  RequestTable(RouterOutbox outbox, RouterOptions options) {
    this.outbox = outbox;
    this.counters = options.counters();
    this.recent = new RecentExplanations(options.explanations());
  }

  void add(Exchange exchange) {
    open.put(exchange.id(), exchange);
    openByTeam.merge(exchange.team().name(), 1, Integer::sum);
  }

  int size() {
    return open.size();
  }

  int openCountOf(String team) {
    return openByTeam.getOrDefault(team, 0);
  }

  /** Returns a snapshot of the open requests, which callers can iterate over while requests end. */
  List<Exchange> all() {
    return List.copyOf(open.values());
  }

  Optional<ChatExchange> findChat(RequestId request) {
    return open.get(request) instanceof ChatExchange chat ? Optional.of(chat) : Optional.empty();
  }

  Optional<CallExchange> findCall(RequestId request) {
    return open.get(request) instanceof CallExchange call ? Optional.of(call) : Optional.empty();
  }

  /** Returns an attempt of an open chat completion; the attempt itself may have ended. */
  Optional<OpenAttempt> findAttempt(AttemptId id) {
    return findChat(id.request())
        .flatMap(chat -> chat.find(id).map(attempt -> new OpenAttempt(chat, attempt)));
  }

  /**
   * Returns an attempt of an open chat completion if its upstream was sent the prompt and it has
   * not ended.
   */
  Optional<OpenAttempt> findSubmitted(AttemptId id) {
    return findAttempt(id).filter(open -> open.attempt().isIn(Attempt.Phase.SUBMITTED));
  }

  Optional<Explanation> explain(RequestId request) {
    Exchange exchange = open.get(request);
    if (exchange == null) {
      return recent.find(request);
    }
    return Optional.of(exchange.explain(exchange.outcome(), Optional.empty(), 0, "open"));
  }

  /** Refuses a request that was not admitted to the table. */
  void refuseUnadmitted(
      RequestId request, String team, String target, Refusal refusal, long nowMicros) {
    recent.add(
        new Explanation(
            request,
            team,
            target,
            nowMicros,
            0,
            0,
            0,
            "",
            List.of(),
            List.of(),
            List.of(),
            refusal.outcome(),
            Optional.of(refusal),
            nowMicros,
            endOf(refusal)));
    answer(request, refusal);
  }

  /** Ends an open request with a refusal. */
  void refuse(Exchange exchange, Refusal refusal, long nowMicros) {
    close(exchange, refusal.outcome(), Optional.of(refusal), nowMicros, endOf(refusal));
    answer(exchange.id(), refusal);
  }

  /** Ends an open request with its complete response, passed as a command. */
  void complete(Exchange exchange, RouterCommand answer, long nowMicros) {
    close(exchange, Outcome.DONE, Optional.empty(), nowMicros, "complete");
    counters.increment("requests.complete");
    outbox.emit(answer);
  }

  /** Ends an open request whose caller has disconnected. */
  void abandon(Exchange exchange, long nowMicros) {
    close(exchange, exchange.outcome(), Optional.empty(), nowMicros, "caller gone");
    counters.increment("refusals.caller-gone");
  }

  private void answer(RequestId request, Refusal refusal) {
    counters.increment("refusals." + refusal.reason().code());
    outbox.refuse(request, refusal);
  }

  private void close(
      Exchange exchange, Outcome outcome, Optional<Refusal> refusal, long nowMicros, String end) {
    if (open.remove(exchange.id()) == null) {
      throw new IllegalStateException("Request " + exchange.id() + " has already ended.");
    }
    openByTeam.computeIfPresent(
        exchange.team().name(), (team, count) -> count == 1 ? null : count - 1);
    for (Attempt attempt : exchange.openAttempts()) {
      attempt.end(end, nowMicros);
    }
    recent.add(exchange.explain(outcome, refusal, nowMicros, end));
  }

  private static String endOf(Refusal refusal) {
    return "refused: " + refusal.reason().code();
  }

  /** An attempt and the open request that it belongs to. Not thread-safe. */
  record OpenAttempt(ChatExchange exchange, Attempt attempt) {}
}
