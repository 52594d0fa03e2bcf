package org.shallothook.coordination.router;

import java.util.Optional;
import org.shallothook.coordination.message.PeerMessage.Consumed;
import org.shallothook.coordination.message.PeerMessage.Ended;
import org.shallothook.coordination.message.PeerMessage.Tokens;
import org.shallothook.coordination.quarantine.RequestQuarantine;
import org.shallothook.coordination.retry.RetryReason;

/**
 * Relays token streams from upstreams to callers and detects stalled streams.
 *
 * <p>Invariant: a caller receives each token of an answer once and in order, and the end of stream
 * only after all of them. Not thread-safe.
 */
final class ChatStreams {
  private static final int CONSUMED_REPORT_TOKENS = 128;
  private static final long CONSUMED_REPORT_IDLE_MICROS = 100_000;
  private static final int BYTES_PER_TOKEN = 4;

  /** Handles streams that cannot continue. */
  @FunctionalInterface
  interface BrokenStreamPolicy {
    /** Cancels the attempt and retries or refuses the request. */
    void abandonAttempt(ChatExchange exchange, Attempt attempt, RetryReason reason, long nowMicros);
  }

  private final RouterOptions options;
  private final RouterOutbox outbox;
  private final RequestTable table;
  private final OfferRounds rounds;
  private final RetryPlanner retries;
  private final RequestQuarantine poison;
  private final SlownessMonitor slowness;
  private final BrokenStreamPolicy brokenStreams;

  ChatStreams(
      RouterOptions options,
      RouterOutbox outbox,
      RequestTable table,
      OfferRounds rounds,
      RetryPlanner retries,
      RequestQuarantine poison,
      SlownessMonitor slowness,
      BrokenStreamPolicy brokenStreams) {
    this.options = options;
    this.outbox = outbox;
    this.table = table;
    this.rounds = rounds;
    this.retries = retries;
    this.poison = poison;
    this.slowness = slowness;
    this.brokenStreams = brokenStreams;
  }

  void onTokens(Tokens tokens, long nowMicros) {
    Optional<RequestTable.OpenAttempt> open = table.findSubmitted(tokens.attempt());
    if (open.isEmpty()) {
      options.counters().increment("frames.older-attempt");
      return;
    }
    ChatExchange exchange = open.get().exchange();
    Attempt attempt = open.get().attempt();
    switch (exchange.stream().accept(tokens.position(), tokens.count(), tokens.text())) {
      case NEXT -> {
        slowness.onFrame(exchange, attempt, nowMicros);
        attempt.onFrame(exchange.stream().position(), nowMicros);
        outbox.emit(
            new RouterCommand.SendTokens(
                exchange.id(), tokens.position(), tokens.count(), tokens.text()));
      }
      case DUPLICATE -> options.counters().increment("frames.duplicate");
      case GAP ->
          brokenStreams.abandonAttempt(exchange, attempt, RetryReason.STREAM_GAP, nowMicros);
    }
  }

  void onEnded(Ended ended, long nowMicros) {
    Optional<RequestTable.OpenAttempt> open = table.findSubmitted(ended.attempt());
    if (open.isEmpty()) {
      options.counters().increment("frames.older-attempt");
      return;
    }
    ChatExchange exchange = open.get().exchange();
    Attempt attempt = open.get().attempt();
    if (!exchange.stream().isComplete(ended.position())) {
      brokenStreams.abandonAttempt(exchange, attempt, RetryReason.STREAM_GAP, nowMicros);
      return;
    }
    slowness.onEnded(exchange, attempt, nowMicros);
    attempt.end("complete", nowMicros);
    poison.onCompleted(exchange.fingerprint(), exchange.signature(), nowMicros);
    retries.onSuccess(nowMicros);
    long cachedTokens = (long) ended.cachedBlocks() * options.blockBytes() / BYTES_PER_TOKEN;
    table.complete(
        exchange,
        new RouterCommand.CompleteAnswer(
            exchange.id(), ended.position(), ended.finishReason(), (int) cachedTokens),
        nowMicros);
  }

  void onConsumed(RouterEvent.CallerConsumed consumed) {
    table
        .findChat(consumed.request())
        .ifPresent(
            exchange -> {
              exchange.onConsumed(consumed.position());
              if (exchange.unreportedConsumed() >= CONSUMED_REPORT_TOKENS) {
                reportConsumed(exchange);
              }
            });
  }

  void onTick(ChatExchange exchange, Attempt attempt, long nowMicros) {
    slowness.onTick(exchange, attempt, nowMicros);
    long silence = nowMicros - attempt.lastFrameAtMicros();
    boolean hasConsumedAll = exchange.consumed() >= exchange.stream().position();
    if (hasConsumedAll && isStalled(exchange, attempt, silence, nowMicros)) {
      brokenStreams.abandonAttempt(exchange, attempt, RetryReason.STREAM_STALLED, nowMicros);
    } else if (exchange.unreportedConsumed() > 0 && silence >= CONSUMED_REPORT_IDLE_MICROS) {
      reportConsumed(exchange);
    }
  }

  /**
   * Returns whether to abandon the attempt. An upstream that sends no messages at all is abandoned
   * sooner than one that still serves other requests, because the latter may have a long queue or
   * may have preempted the stream. A stream that no other upstream can take stays there as long,
   * because its upstream may only be silent.
   */
  private boolean isStalled(ChatExchange exchange, Attempt attempt, long silence, long nowMicros) {
    long upstreamSilence = nowMicros - attempt.upstream().lastMessageMicros();
    boolean isLate = slowness.isLate(exchange, attempt, nowMicros);
    if (isLate
        && upstreamSilence >= options.silenceWaitMicros()
        && (!exchange.hasStarted() || rounds.hasOther(exchange, attempt, nowMicros))) {
      return true;
    }
    return exchange.hasStarted() && silence >= options.stallWaitMicros();
  }

  private void reportConsumed(ChatExchange exchange) {
    exchange
        .submitted()
        .ifPresent(
            attempt -> {
              outbox.send(
                  attempt.upstream().name(), new Consumed(attempt.id(), exchange.consumed()));
              exchange.onConsumedReported();
            });
  }
}
