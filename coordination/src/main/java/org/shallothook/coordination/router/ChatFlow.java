package org.shallothook.coordination.router;

import io.vavr.control.Either;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.shallothook.coordination.message.CrashRole;
import org.shallothook.coordination.message.PeerMessage.Failed;
import org.shallothook.coordination.message.PeerMessage.OfferReply;
import org.shallothook.coordination.quarantine.PoisonGuard;
import org.shallothook.coordination.retry.RetryReason;
import org.shallothook.state.configuration.TeamTemplate;
import org.shallothook.state.request.Outcome;
import org.shallothook.state.request.Refusal;
import org.shallothook.state.request.RefusalReason;

/**
 * Takes requests for chat completions from screening to their end.
 *
 * <p>Invariant: a caller gets each token of one answer once and in order, then exactly one end. Not
 * thread-safe.
 */
final class ChatFlow {
  private static final long DEADLINE_GRACE_MICROS = 250_000;
  private static final long COME_BACK_MICROS = 1_000_000;

  private final RouterOptions options;
  private final RequestTable table;
  private final RequestScreening screening;
  private final OfferRounds rounds;
  private final RetryPlanner retries;
  private final PoisonGuard poison;
  private final ChatStreams streams;

  ChatFlow(
      RouterOptions options,
      RouterOutbox outbox,
      RequestTable table,
      RequestScreening screening,
      OfferRounds rounds,
      RetryPlanner retries,
      PoisonGuard poison,
      SlownessMonitor slowness) {
    this.options = options;
    this.table = table;
    this.screening = screening;
    this.rounds = rounds;
    this.retries = retries;
    this.poison = poison;
    this.streams = new ChatStreams(options, outbox, table, retries, poison, slowness, this::giveUp);
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

  /** Returns the part that takes frames of streams. */
  ChatStreams streams() {
    return streams;
  }

  void onReply(OfferReply reply, long nowMicros) {
    table
        .findAttempt(reply.attempt())
        .filter(open -> open.attempt().is(Attempt.Phase.OFFERED))
        .ifPresentOrElse(
            open -> {
              if (reply.refusal().filter(RefusalReason.QUARANTINED::equals).isPresent()) {
                refuseQuarantined(open.exchange(), reply.validUntilMicros(), nowMicros);
                return;
              }
              follow(
                  open.exchange(),
                  rounds.onReply(open.exchange(), open.attempt(), reply, nowMicros),
                  nowMicros);
            },
            () -> options.counters().increment("replies.late"));
  }

  void onFailed(Failed failed, long nowMicros) {
    Optional<RequestTable.OpenAttempt> found =
        table.findAttempt(failed.attempt()).filter(one -> one.attempt().isOpen());
    if (found.isEmpty()) {
      options.counters().increment("frames.older-attempt");
      return;
    }
    ChatExchange exchange = found.get().exchange();
    Attempt attempt = found.get().attempt();
    boolean wasSubmitted = attempt.is(Attempt.Phase.SUBMITTED);
    attempt.end("failed: " + failed.reason().code() + " " + failed.detail(), nowMicros);
    if (!wasSubmitted) {
      follow(exchange, rounds.advance(exchange, nowMicros), nowMicros);
      return;
    }
    if (failed.outcome() != Outcome.NOT_RUN || attempt.tokens() > 0) {
      exchange.setMayHaveRun();
    }
    noteUpstream(exchange, attempt, failed.reason());
    if (isConvicted(exchange, attempt, failed, nowMicros)) {
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

  /** Takes in that nothing more will come from a peer. */
  void onPeerDown(ChatExchange exchange, String peer, boolean wasConnected, long nowMicros) {
    for (Attempt attempt : exchange.openAttempts()) {
      if (!attempt.upstream().name().equals(peer)) {
        continue;
      }
      boolean wasSubmitted = attempt.is(Attempt.Phase.SUBMITTED);
      attempt.end(wasConnected ? "connection lost" : "unreachable", nowMicros);
      if (!wasSubmitted) {
        follow(exchange, rounds.advance(exchange, nowMicros), nowMicros);
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
    if (!exchange.hasBegun() && isPastDeadline(exchange, submitted, nowMicros)) {
      onDeadline(exchange, nowMicros);
    } else if (submitted.isPresent()) {
      streams.watch(exchange, submitted.get(), nowMicros);
    } else if (exchange.retryAtMicros() > 0) {
      if (nowMicros >= exchange.retryAtMicros()) {
        begin(exchange, nowMicros);
      }
    } else {
      follow(exchange, rounds.onTick(exchange, nowMicros), nowMicros);
    }
  }

  private void begin(ChatExchange exchange, long nowMicros) {
    follow(exchange, rounds.begin(exchange, nowMicros), nowMicros);
  }

  private void follow(ChatExchange exchange, OfferRounds.Progress progress, long nowMicros) {
    switch (progress) {
      case SUBMITTED, WAITING -> {}
      case EXHAUSTED -> onExhausted(exchange, nowMicros);
      case NO_CANDIDATE -> onNoCandidate(exchange, nowMicros);
    }
  }

  private void onNoCandidate(ChatExchange exchange, long nowMicros) {
    if (retries.mayWaitForCandidate(exchange, nowMicros)) {
      retries.scheduleWait(exchange, nowMicros);
      return;
    }
    RefusalReason reason =
        rounds.hasEngine(nowMicros) ? RefusalReason.WRONG_VERSION : RefusalReason.NO_UPSTREAM;
    refuse(
        exchange,
        exchange.hasBegun() ? RefusalReason.STREAM_CANNOT_RESUME : reason,
        "No upstream can serve " + exchange.identity().modelVersion() + " now.",
        nowMicros + COME_BACK_MICROS,
        nowMicros);
  }

  private void onExhausted(ChatExchange exchange, long nowMicros) {
    List<Attempt> refused =
        exchange.round().stream().filter(one -> one.refusal().isPresent()).toList();
    Optional<RefusalReason> overload =
        refused.stream()
            .map(one -> one.refusal().get())
            .filter(RetryPlanner::isOverload)
            .max(Comparator.naturalOrder());
    if (overload.isPresent() && !exchange.hasBegun()) {
      long comeBack = comeBackAtMicros(refused, nowMicros);
      refuse(exchange, overload.get(), "Every upstream asked has refused.", comeBack, nowMicros);
      return;
    }
    RefusalReason last =
        refused.isEmpty()
            ? RefusalReason.NO_UPSTREAM
            : refused.get(refused.size() - 1).refusal().get();
    RetryReason reason = refused.isEmpty() ? RetryReason.OFFER_UNANSWERED : RetryReason.HANDED_BACK;
    retry(exchange, reason, last, nowMicros);
  }

  private static long comeBackAtMicros(List<Attempt> refused, long nowMicros) {
    return refused.stream()
        .mapToLong(Attempt::validUntilMicros)
        .filter(at -> at > nowMicros)
        .min()
        .orElse(nowMicros + COME_BACK_MICROS);
  }

  private void retry(
      ChatExchange exchange, RetryReason reason, RefusalReason otherwise, long nowMicros) {
    if (exchange.hasBegun()) {
      exchange.setCandidatesUntilMicros(nowMicros + options.stallWaitMicros());
    }
    switch (retries.request(exchange, reason, nowMicros)) {
      case NOW -> begin(exchange, nowMicros);
      case LATER -> {}
      case EXHAUSTED -> {
        RefusalReason last = exchange.hasBegun() ? RefusalReason.STREAM_CANNOT_RESUME : otherwise;
        refuse(
            exchange,
            last,
            "Given up after " + exchange.retries().size() + " retries.",
            nowMicros + COME_BACK_MICROS,
            nowMicros);
      }
      case BUDGET_EMPTY ->
          refuse(
              exchange,
              RefusalReason.RETRY_BUDGET_EMPTY,
              "The attempt failed with " + otherwise.code() + ".",
              nowMicros + COME_BACK_MICROS,
              nowMicros);
    }
  }

  private void giveUp(ChatExchange exchange, Attempt attempt, RetryReason reason, long nowMicros) {
    exchange.setMayHaveRun();
    rounds.cancel(attempt, reason.code(), nowMicros);
    retry(exchange, reason, RefusalReason.ENGINE_LOST, nowMicros);
  }

  private static void noteUpstream(ChatExchange exchange, Attempt attempt, RefusalReason reason) {
    switch (reason) {
      case UPSTREAM_LEAVING -> attempt.upstream().onLeaving();
      case WRONG_VERSION -> attempt.upstream().onNotReady(exchange.identity().modelVersion());
      default -> {}
    }
  }

  private boolean isConvicted(
      ChatExchange exchange, Attempt attempt, Failed failed, long nowMicros) {
    if (failed.reason() == RefusalReason.QUARANTINED) {
      refuseQuarantined(exchange, failed.retryAtMicros(), nowMicros);
      return true;
    }
    if (!failed.crashRole().isSuspect()) {
      return false;
    }
    boolean ranAlone = attempt.isAlone() && failed.crashRole() == CrashRole.ALONE;
    Optional<Long> until =
        poison.onCrash(exchange.fingerprint(), ranAlone, exchange.planNames(), nowMicros);
    until.ifPresent(at -> refuseQuarantined(exchange, at, nowMicros));
    return until.isPresent();
  }

  private void refuseQuarantined(ChatExchange exchange, long untilMicros, long nowMicros) {
    cancelAll(exchange, "quarantined", nowMicros);
    String detail = "The request has crashed engines.";
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
        "No token came before the deadline.",
        nowMicros + COME_BACK_MICROS,
        nowMicros);
  }

  private void cancelAll(ChatExchange exchange, String why, long nowMicros) {
    for (Attempt attempt : exchange.openAttempts()) {
      if (attempt.is(Attempt.Phase.SUBMITTED)) {
        exchange.setMayHaveRun();
      }
      rounds.cancel(attempt, why, nowMicros);
    }
  }

  private void refuse(
      ChatExchange exchange,
      RefusalReason reason,
      String detail,
      long comeBackAtMicros,
      long nowMicros) {
    cancelAll(exchange, "request refused", nowMicros);
    Optional<Long> retryAt =
        comeBackAtMicros > nowMicros ? Optional.of(comeBackAtMicros) : Optional.empty();
    table.refuse(exchange, new Refusal(reason, detail, exchange.outcome(), retryAt), nowMicros);
  }
}
