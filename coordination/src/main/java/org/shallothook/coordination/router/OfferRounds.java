package org.shallothook.coordination.router;

import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.shallothook.coordination.membership.RoleFilter;
import org.shallothook.coordination.membership.Upstream;
import org.shallothook.coordination.membership.UpstreamDirectory;
import org.shallothook.coordination.message.Hint;
import org.shallothook.coordination.message.PeerMessage.Cancel;
import org.shallothook.coordination.message.PeerMessage.Offer;
import org.shallothook.coordination.message.PeerMessage.OfferReply;
import org.shallothook.coordination.message.PeerMessage.Submit;
import org.shallothook.coordination.placement.HintScore;
import org.shallothook.coordination.placement.PlacementCandidate;
import org.shallothook.coordination.placement.PlacementPlan;
import org.shallothook.coordination.placement.PlacementQuery;
import org.shallothook.coordination.placement.PlannedOffer;
import org.shallothook.coordination.placement.PrefixLevel;
import org.shallothook.coordination.placement.SpreadCache;
import org.shallothook.coordination.quarantine.RequestQuarantine;
import org.shallothook.state.cache.BlockKey;
import org.shallothook.state.cache.BlockKeySample;
import org.shallothook.state.request.RefusalReason;

/**
 * Offers a request to upstreams in the order of a placement plan until one accepts it with a good
 * enough hint.
 *
 * <p>Each round starts with one offer, or with two if the first upstream is likely to be busy.
 * After a poor hint, the reservation is held and the next upstream is probed as well. The best of
 * up to {@link #MAXIMUM_PROBES} reservations gets the prompt; the others are cancelled.
 *
 * <p>Invariant: at most one open attempt of a request has been sent the prompt. Not thread-safe.
 */
final class OfferRounds {
  /** Maximum number of reservations held for a request at the same time. */
  static final int MAXIMUM_PROBES = 3;

  private static final long SPREAD_VALIDITY_MICROS = 5_000_000;

  /** Cost added to upstreams outside the router's failure domain, in microseconds. */
  private static final long CROSS_DOMAIN_MICROS = 2_000;

  private static final int MAXIMUM_CONSECUTIVE_UNANSWERED = 3;

  /** Number of offer timeouts after which an unanswered offer is cancelled. */
  private static final int WITHDRAWAL_WAITS = 16;

  /** Result of a step of a round. Immutable and thread-safe. */
  enum Progress {
    /** The prompt was sent. */
    SUBMITTED,
    /** A reply to an offer is pending. */
    WAITING,
    /** Every upstream of the plan has refused or not replied. */
    EXHAUSTED,
    /** No upstream can serve the model version. */
    NO_CANDIDATE
  }

  private final RouterOptions options;
  private final RouterOutbox outbox;
  private final UpstreamDirectory directory;
  private final RequestQuarantine poison;
  private final SplittableRandom random;
  private final HintScore score;
  private final SpreadCache spreads = new SpreadCache(SPREAD_VALIDITY_MICROS);
  private long sequence;

  OfferRounds(
      RouterOptions options,
      RouterOutbox outbox,
      UpstreamDirectory directory,
      RequestQuarantine poison,
      SplittableRandom random) {
    this.options = options;
    this.outbox = outbox;
    this.directory = directory;
    this.poison = poison;
    this.random = random;
    this.score =
        new HintScore(
            options.recomputeMicrosPerBlock(), CROSS_DOMAIN_MICROS, options.probeThresholdMicros());
  }

  /** Starts a round of offers. */
  Progress begin(ChatExchange exchange, long nowMicros) {
    List<Upstream> candidates = candidatesOf(exchange, nowMicros);
    if (candidates.isEmpty()) {
      return Progress.NO_CANDIDATE;
    }
    PlacementPlan plan = planOf(exchange, candidates, nowMicros);
    List<Upstream> reserved = RoleFilter.reserved(candidates, exchange.team().priority());
    if (!reserved.isEmpty()) {
      plan = plan.startingWith(planOf(exchange, reserved, nowMicros));
    }
    exchange.startRound(plan);
    offerNext(exchange, nowMicros);
    if (plan.comparesHints() && isLikelyBusy(plan)) {
      options.counters().increment("offers.probe.busy");
      offerNext(exchange, nowMicros);
    }
    return Progress.WAITING;
  }

  private PlacementPlan planOf(ChatExchange exchange, List<Upstream> candidates, long nowMicros) {
    return options
        .placement()
        .plan(
            new PlacementQuery(
                candidates,
                exchange.prompt().levels(),
                level -> spreads.spreadOf(level, nowMicros),
                sequence++,
                random.nextLong()));
  }

  /** Handles the reply to an open offer. */
  Progress onReply(ChatExchange exchange, Attempt attempt, OfferReply reply, long nowMicros) {
    Upstream upstream = attempt.upstream();
    upstream.onAnswered();
    upstream.onQueueDelay(reply.hint().queueDelayMicros());
    if (attempt.rank() == 0) {
      spreads.onHint(PrefixLevel.homeOf(exchange.prompt().levels()), reply.hint(), nowMicros);
    }
    if (reply.refusal().isPresent()) {
      onRefused(exchange, attempt, reply, nowMicros);
    } else {
      attempt.onAccepted(
          reply.hint(), reply.validUntilMicros(), costOf(exchange, upstream, reply.hint()));
    }
    return advance(exchange, nowMicros);
  }

  /** Moves on from offers whose reply is overdue. A late reply is still used. */
  Progress onTick(ChatExchange exchange, long nowMicros) {
    boolean hasChanged = false;
    for (Attempt attempt : exchange.roundAttempts()) {
      hasChanged |= attempt.isIn(Attempt.Phase.OFFERED) && updateOverdue(attempt, nowMicros);
    }
    return hasChanged ? advance(exchange, nowMicros) : Progress.WAITING;
  }

  private boolean updateOverdue(Attempt attempt, long nowMicros) {
    long waitedMicros = nowMicros - attempt.offeredAtMicros();
    if (waitedMicros >= WITHDRAWAL_WAITS * options.offerWaitMicros()) {
      cancel(attempt, "unanswered", nowMicros);
      return true;
    }
    if (waitedMicros < options.offerWaitMicros() || attempt.isOverdue()) {
      return false;
    }
    onUnanswered(attempt, nowMicros);
    return true;
  }

  /**
   * Continues the round after an attempt has ended or a reply has arrived: submits the prompt,
   * sends the next offer, or waits.
   */
  Progress advance(ChatExchange exchange, long nowMicros) {
    dropExpired(exchange, nowMicros);
    Optional<Attempt> best = bestOf(exchange);
    boolean isReplyPending = exchange.roundAttempts().stream().anyMatch(Attempt::isReplyPending);
    if (best.isPresent() && isGoodEnough(exchange, best.get())) {
      submit(exchange, best.get(), nowMicros);
      return Progress.SUBMITTED;
    }
    if (isReplyPending) {
      return Progress.WAITING;
    }
    if (canProbe(exchange, best) && offerNext(exchange, nowMicros)) {
      best.ifPresent(this::countProbe);
      return Progress.WAITING;
    }
    if (best.isPresent()) {
      submit(exchange, best.get(), nowMicros);
      return Progress.SUBMITTED;
    }
    boolean isOverdue =
        exchange.roundAttempts().stream().anyMatch(attempt -> attempt.isIn(Attempt.Phase.OFFERED));
    return isOverdue ? Progress.WAITING : Progress.EXHAUSTED;
  }

  /** Returns whether any engine accepts new work, whichever model versions it has loaded. */
  boolean hasEngine(long nowMicros) {
    return directory.hasEngine(nowMicros);
  }

  /** Returns whether an upstream other than that of an attempt could take the request now. */
  boolean hasOther(ChatExchange exchange, Attempt attempt, long nowMicros) {
    return candidatesOf(exchange, nowMicros).stream()
        .anyMatch(upstream -> !upstream.name().equals(attempt.upstream().name()));
  }

  /** Cancels an open attempt. */
  void cancel(Attempt attempt, String why, long nowMicros) {
    if (attempt.isOpen()) {
      outbox.send(attempt.upstream().name(), new Cancel(attempt.id()));
      attempt.end(why, nowMicros);
    }
  }

  private List<Upstream> candidatesOf(ChatExchange exchange, long nowMicros) {
    List<Upstream> all =
        directory.candidates(
            exchange.identity().modelVersion(), exchange.team().priority(), nowMicros);
    List<Upstream> untried = all.stream().filter(upstream -> !exchange.hasTried(upstream)).toList();
    return untried.isEmpty() ? all : untried;
  }

  private boolean isLikelyBusy(PlacementPlan plan) {
    PlacementCandidate first = plan.offers().get(0).candidate();
    return first.queueDelayMicros() > options.probeThresholdMicros();
  }

  private boolean offerNext(ChatExchange exchange, long nowMicros) {
    Optional<PlannedOffer> planned = pollUsable(exchange, nowMicros);
    if (planned.isEmpty()) {
      return false;
    }
    PlannedOffer next = planned.get();
    Upstream upstream = (Upstream) next.candidate();
    boolean isSuspect = poison.isSuspect(exchange.fingerprint(), nowMicros);
    Attempt attempt =
        exchange.open(upstream, next.rank(), exchange.stream().position(), isSuspect, nowMicros);
    outbox.send(upstream.name(), offerMessage(exchange, attempt, nowMicros));
    return true;
  }

  private static Optional<PlannedOffer> pollUsable(ChatExchange exchange, long nowMicros) {
    PlannedOffer next = exchange.remainingOffers().poll();
    while (next != null && !((Upstream) next.candidate()).isUsable(nowMicros)) {
      next = exchange.remainingOffers().poll();
    }
    return Optional.ofNullable(next);
  }

  private Offer offerMessage(ChatExchange exchange, Attempt attempt, long nowMicros) {
    long deadline =
        exchange.hasStarted()
            ? nowMicros + options.firstTokenWaitMicros()
            : exchange.deadlineMicros();
    return new Offer(
        attempt.id(),
        exchange.identity(),
        exchange.team().priority(),
        BlockKeySample.of(exchange.prompt().keys()).stream().map(BlockKey::abbreviated).toList(),
        exchange.prompt().bytes().length,
        exchange.maximumOutputTokens(),
        deadline,
        exchange.stream().position(),
        exchange.fingerprint(),
        attempt.isAlone(),
        attempt.rank());
  }

  private void onRefused(ChatExchange exchange, Attempt attempt, OfferReply reply, long nowMicros) {
    RefusalReason reason = reply.refusal().get();
    options.counters().increment("offers.refused." + reason.code());
    attempt.onRefused(reason, reply.hint(), reply.validUntilMicros(), nowMicros);
    switch (reason) {
      case UPSTREAM_LEAVING -> attempt.upstream().onLeaving();
      case WRONG_VERSION -> attempt.upstream().onNotReady(exchange.identity().modelVersion());
      case NO_UPSTREAM -> directory.onUnreachable(attempt.upstream().name(), nowMicros);
      default -> {}
    }
  }

  private void onUnanswered(Attempt attempt, long nowMicros) {
    options.counters().increment("offers.unanswered");
    attempt.setOverdue();
    if (attempt.upstream().onUnanswered() >= MAXIMUM_CONSECUTIVE_UNANSWERED) {
      directory.onSilent(attempt.upstream().name(), nowMicros);
    }
  }

  private void dropExpired(ChatExchange exchange, long nowMicros) {
    for (Attempt attempt : exchange.roundAttempts()) {
      if (attempt.isIn(Attempt.Phase.ACCEPTED) && attempt.validUntilMicros() < nowMicros) {
        cancel(attempt, "reservation expired", nowMicros);
      }
    }
  }

  private Optional<Attempt> bestOf(ChatExchange exchange) {
    Attempt best = null;
    for (Attempt attempt : exchange.roundAttempts()) {
      boolean isBetter = best == null || attempt.costMicros() < best.costMicros();
      if (attempt.isIn(Attempt.Phase.ACCEPTED) && isBetter) {
        best = attempt;
      }
    }
    return Optional.ofNullable(best);
  }

  private boolean isGoodEnough(ChatExchange exchange, Attempt attempt) {
    return !exchange.plan().comparesHints()
        || !score.isWorseThanExpected(
            attempt.hint().orElse(Hint.NONE), exchange.prompt().expectedBlocks());
  }

  private void countProbe(Attempt attempt) {
    boolean isQueue =
        attempt.hint().orElse(Hint.NONE).queueDelayMicros() > options.probeThresholdMicros();
    options.counters().increment(isQueue ? "offers.probe.queue" : "offers.probe.match");
  }

  private static boolean canProbe(ChatExchange exchange, Optional<Attempt> best) {
    long reservations =
        exchange.roundAttempts().stream()
            .filter(attempt -> attempt.isIn(Attempt.Phase.ACCEPTED))
            .count();
    return best.isEmpty() || reservations < MAXIMUM_PROBES;
  }

  private long costOf(ChatExchange exchange, Upstream upstream, Hint hint) {
    boolean isInSameDomain = upstream.failureDomain().equals(options.failureDomain());
    return score.costMicros(hint, exchange.prompt().keys().size(), isInSameDomain);
  }

  private void submit(ChatExchange exchange, Attempt chosen, long nowMicros) {
    for (Attempt attempt : exchange.openAttempts()) {
      if (attempt != chosen) {
        options.counters().increment("offers.not-chosen");
        cancel(attempt, "not chosen", nowMicros);
      }
    }
    chosen.onSubmitted(nowMicros);
    outbox.send(
        chosen.upstream().name(),
        new Submit(chosen.id(), exchange.prompt().text(), exchange.stream().text()));
  }
}
