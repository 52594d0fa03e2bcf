package org.shallothook.coordination.router;

import io.vavr.control.Either;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.shallothook.coordination.message.CrashRole;
import org.shallothook.coordination.message.PeerMessage.Failed;
import org.shallothook.coordination.message.PeerMessage.OfferReply;
import org.shallothook.coordination.quarantine.RequestQuarantine;
import org.shallothook.coordination.retry.RetryReason;
import org.shallothook.state.configuration.TeamTemplate;
import org.shallothook.state.request.Outcome;
import org.shallothook.state.request.Refusal;
import org.shallothook.state.request.RefusalReason;

/**
 * Handles chat completions, from admission to their end.
 *
 * <p>Invariant: a caller receives each token of an answer once and in order, then exactly one end
 * of stream. Not thread-safe.
 */
final class ChatFlow {
  private static final long DEADLINE_GRACE_MICROS = 250_000;
  private static final long RETRY_AFTER_MICROS = 1_000_000;

  private final RouterOptions options;
  private final RequestTable table;
  private final RequestScreening screening;
  private final OfferRounds rounds;
  private final RetryPlanner retries;
  private final RequestQuarantine poison;
  private final ChatStreams streams;

  ChatFlow(
      RouterOptions options,
      RouterOutbox outbox,
      RequestTable table,
      RequestScreening screening,
      OfferRounds rounds,
      RetryPlanner retries,
      RequestQuarantine poison,
      SlownessMonitor slowness) {
    this.options = options;
    this.table = table;
    this.screening = screening;
    this.rounds = rounds;
    this.retries = retries;
    this.poison = poison;
    this.streams =
        new ChatStreams(
            options, outbox, table, rounds, retries, poison, slowness, this::abandonAttempt);
  }

  void onRequested(RouterEvent.ChatRequested request, long nowMicros) {
    Either<Refusal, TeamTemplate> team =
        screening.authenticate(request.request(), request.key(), nowMicros);
    Either<Refusal, ChatExchange> admitted =
        team.flatMap(template -> screening.admit(request, template, nowMicros));
    if (admitted.isLeft()) {
      String name = team.map(TeamTemplate::name).getOrElse("");
      table.refuseUnadmitted(
          request.request(), name, request.model(), admitted.getLeft(), nowMicros);
      return;
    }
    table.add(admitted.get());
    begin(admitted.get(), nowMicros);
  }

  /** Returns the handler for frames of streams. */
  ChatStreams streams() {
    return streams;
  }

  void onReply(OfferReply reply, long nowMicros) {
    table
        .findAttempt(reply.attempt())
        .filter(open -> open.attempt().isIn(Attempt.Phase.OFFERED))
        .ifPresentOrElse(
            open -> {
              if (reply.refusal().filter(RefusalReason.QUARANTINED::equals).isPresent()) {
                refuseQuarantined(open.exchange(), reply.validUntilMicros(), nowMicros);
                return;
              }
              handleProgress(
                  open.exchange(),
                  rounds.onReply(open.exchange(), open.attempt(), reply, nowMicros),
                  nowMicros);
            },
            () -> options.counters().increment("replies.late"));
  }

  void onFailed(Failed failed, long nowMicros) {
    Optional<RequestTable.OpenAttempt> found =
        table.findAttempt(failed.attempt()).filter(open -> open.attempt().isOpen());
    if (found.isEmpty()) {
      options.counters().increment("frames.older-attempt");
      return;
    }
    ChatExchange exchange = found.get().exchange();
    Attempt attempt = found.get().attempt();
    boolean wasSubmitted = attempt.isIn(Attempt.Phase.SUBMITTED);
    attempt.end("failed: " + failed.reason().code() + " " + failed.detail(), nowMicros);
    if (!wasSubmitted) {
      handleProgress(exchange, rounds.advance(exchange, nowMicros), nowMicros);
      return;
    }
    if (failed.outcome() != Outcome.NOT_RUN || attempt.tokens() > 0) {
      exchange.setMayHaveRun();
    }
    updateUpstream(exchange, attempt, failed.reason());
    if (quarantineAfterCrash(exchange, attempt, failed, nowMicros)) {
      return;
    }
    Optional<RetryReason> reason = RetryReason.after(failed.reason(), failed.outcome());
    if (reason.isEmpty()) {
      refuse(exchange, failed.reason(), failed.detail(), failed.retryAtMicros(), nowMicros);
      return;
    }
    retry(exchange, reason.get(), failed.reason(), nowMicros);
  }

  void onCallerGone(ChatExchange exchange, long nowMicros) {
    cancelAll(exchange, "caller gone", nowMicros);
    table.abandon(exchange, nowMicros);
  }

  /** Handles the loss of a peer, from which no more messages will arrive. */
  void onPeerDown(ChatExchange exchange, String peer, boolean wasConnected, long nowMicros) {
    for (Attempt attempt : exchange.openAttempts()) {
      if (!attempt.upstream().name().equals(peer)) {
        continue;
      }
      boolean wasSubmitted = attempt.isIn(Attempt.Phase.SUBMITTED);
      attempt.end(wasConnected ? "connection lost" : "unreachable", nowMicros);
      if (!wasSubmitted) {
        handleProgress(exchange, rounds.advance(exchange, nowMicros), nowMicros);
      } else if (wasConnected || attempt.tokens() > 0) {
        exchange.setMayHaveRun();
        retry(exchange, RetryReason.CONNECTION_LOST, RefusalReason.CONNECTION_LOST, nowMicros);
      } else {
        retry(exchange, RetryReason.UPSTREAM_UNREACHABLE, RefusalReason.NO_UPSTREAM, nowMicros);
      }
      return;
    }
  }

  void onTick(ChatExchange exchange, long nowMicros) {
    Optional<Attempt> submitted = exchange.submitted();
    if (!exchange.hasStarted() && isPastDeadline(exchange, submitted, nowMicros)) {
      onDeadline(exchange, nowMicros);
    } else if (submitted.isPresent()) {
      streams.onTick(exchange, submitted.get(), nowMicros);
    } else if (exchange.retryAtMicros() > 0) {
      if (nowMicros >= exchange.retryAtMicros()) {
        begin(exchange, nowMicros);
      }
    } else {
      handleProgress(exchange, rounds.onTick(exchange, nowMicros), nowMicros);
    }
  }

  private void begin(ChatExchange exchange, long nowMicros) {
    handleProgress(exchange, rounds.begin(exchange, nowMicros), nowMicros);
  }

  private void handleProgress(
      ChatExchange exchange, OfferRounds.Progress progress, long nowMicros) {
    switch (progress) {
      case SUBMITTED, WAITING -> {}
      case EXHAUSTED -> onExhausted(exchange, nowMicros);
      case NO_CANDIDATE -> onNoCandidate(exchange, nowMicros);
    }
  }

  private void onNoCandidate(ChatExchange exchange, long nowMicros) {
    if (retries.mayWaitForCandidate(exchange, nowMicros)) {
      retries.scheduleCandidateRetry(exchange, nowMicros);
      return;
    }
    RefusalReason reason =
        rounds.hasEngine(nowMicros) ? RefusalReason.WRONG_VERSION : RefusalReason.NO_UPSTREAM;
    refuse(
        exchange,
        exchange.hasStarted() ? RefusalReason.STREAM_CANNOT_RESUME : reason,
        "No upstream can serve " + exchange.identity().modelVersion() + " now.",
        nowMicros + RETRY_AFTER_MICROS,
        nowMicros);
  }

  private void onExhausted(ChatExchange exchange, long nowMicros) {
    List<Attempt> refused =
        exchange.roundAttempts().stream().filter(attempt -> attempt.refusal().isPresent()).toList();
    Optional<RefusalReason> overload =
        refused.stream()
            .map(attempt -> attempt.refusal().get())
            .filter(RetryPlanner::isOverload)
            .max(Comparator.naturalOrder());
    if (overload.isPresent() && !exchange.hasStarted()) {
      long retryAt = retryAtMicros(refused, nowMicros);
      refuse(
          exchange,
          overload.get(),
          "Every upstream that was offered the request refused it.",
          retryAt,
          nowMicros);
      return;
    }
    RefusalReason last =
        refused.isEmpty()
            ? RefusalReason.NO_UPSTREAM
            : refused.get(refused.size() - 1).refusal().get();
    RetryReason reason = refused.isEmpty() ? RetryReason.OFFER_UNANSWERED : RetryReason.HANDED_BACK;
    retry(exchange, reason, last, nowMicros);
  }

  private static long retryAtMicros(List<Attempt> refused, long nowMicros) {
    return refused.stream()
        .mapToLong(Attempt::validUntilMicros)
        .filter(at -> at > nowMicros)
        .min()
        .orElse(nowMicros + RETRY_AFTER_MICROS);
  }

  private void retry(
      ChatExchange exchange, RetryReason reason, RefusalReason finalReason, long nowMicros) {
    if (exchange.hasStarted()) {
      exchange.setCandidateDeadlineMicros(nowMicros + options.stallWaitMicros());
    }
    switch (retries.plan(exchange, reason, nowMicros)) {
      case NOW -> begin(exchange, nowMicros);
      case LATER -> {}
      case EXHAUSTED -> {
        RefusalReason last =
            exchange.hasStarted() ? RefusalReason.STREAM_CANNOT_RESUME : finalReason;
        refuse(
            exchange,
            last,
            "Failed after " + exchange.retries().size() + " retries.",
            nowMicros + RETRY_AFTER_MICROS,
            nowMicros);
      }
      case BUDGET_EMPTY ->
          refuse(
              exchange,
              RefusalReason.RETRY_BUDGET_EMPTY,
              "The attempt failed with " + finalReason.code() + ".",
              nowMicros + RETRY_AFTER_MICROS,
              nowMicros);
    }
  }

  private void abandonAttempt(
      ChatExchange exchange, Attempt attempt, RetryReason reason, long nowMicros) {
    exchange.setMayHaveRun();
    rounds.cancel(attempt, reason.code(), nowMicros);
    retry(exchange, reason, RefusalReason.ENGINE_LOST, nowMicros);
  }

  private static void updateUpstream(ChatExchange exchange, Attempt attempt, RefusalReason reason) {
    switch (reason) {
      case UPSTREAM_LEAVING -> attempt.upstream().onLeaving();
      case WRONG_VERSION -> attempt.upstream().onNotReady(exchange.identity().modelVersion());
      default -> {}
    }
  }

  private boolean quarantineAfterCrash(
      ChatExchange exchange, Attempt attempt, Failed failed, long nowMicros) {
    if (failed.reason() == RefusalReason.QUARANTINED) {
      refuseQuarantined(exchange, failed.retryAtMicros(), nowMicros);
      return true;
    }
    if (!failed.crashRole().isSuspect()) {
      return false;
    }
    boolean ranAlone = attempt.isAlone() && failed.crashRole() == CrashRole.ALONE;
    String crash = attempt.upstream().name() + "/" + attempt.engineIncarnation();
    poison.onCrashSeen(crash, exchange.signature(), nowMicros);
    Optional<Long> until =
        poison.onCrash(exchange.fingerprint(), ranAlone, exchange.plannedUpstreams(), nowMicros);
    until.ifPresent(at -> refuseQuarantined(exchange, at, nowMicros));
    return until.isPresent();
  }

  private void refuseQuarantined(ChatExchange exchange, long untilMicros, long nowMicros) {
    cancelAll(exchange, "quarantined", nowMicros);
    String detail = "The request has crashed engines and is quarantined.";
    refuse(exchange, RefusalReason.QUARANTINED, detail, untilMicros, nowMicros);
  }

  private boolean isPastDeadline(
      ChatExchange exchange, Optional<Attempt> submitted, long nowMicros) {
    long grace = submitted.isPresent() ? DEADLINE_GRACE_MICROS : 0;
    return nowMicros >= exchange.deadlineMicros() + grace;
  }

  private void onDeadline(ChatExchange exchange, long nowMicros) {
    cancelAll(exchange, "deadline passed", nowMicros);
    refuse(
        exchange,
        RefusalReason.DEADLINE_PASSED,
        "No token arrived before the deadline.",
        nowMicros + RETRY_AFTER_MICROS,
        nowMicros);
  }

  private void cancelAll(ChatExchange exchange, String why, long nowMicros) {
    for (Attempt attempt : exchange.openAttempts()) {
      if (attempt.isIn(Attempt.Phase.SUBMITTED)) {
        exchange.setMayHaveRun();
      }
      rounds.cancel(attempt, why, nowMicros);
    }
  }

  private void refuse(
      ChatExchange exchange,
      RefusalReason reason,
      String detail,
      long retryAtMicros,
      long nowMicros) {
    cancelAll(exchange, "request refused", nowMicros);
    Optional<Long> retryAt =
        retryAtMicros > nowMicros ? Optional.of(retryAtMicros) : Optional.empty();
    table.refuse(exchange, new Refusal(reason, detail, exchange.outcome(), retryAt), nowMicros);
  }
}
