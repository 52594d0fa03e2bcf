package org.shallothook.coordination.router;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import org.shallothook.coordination.placement.PlacementPlan;
import org.shallothook.coordination.placement.PlannedOffer;
import org.shallothook.coordination.quarantine.RequestSignature;
import org.shallothook.state.cache.CacheIdentity;
import org.shallothook.state.configuration.TeamTemplate;
import org.shallothook.state.request.Outcome;
import org.shallothook.state.request.Refusal;
import org.shallothook.state.request.RequestId;

/**
 * An open request for a chat completion.
 *
 * <p>Invariant: the cache identity, and with it the model version, is the same for all attempts.
 * Not thread-safe.
 */
final class ChatExchange extends Exchange {
  private static final long CANDIDATE_WAIT_MICROS = 2_000_000;

  private final CacheIdentity identity;
  private final RenderedPrompt prompt;
  private final int maximumOutputTokens;
  private final long configurationOffset;
  private final StreamAssembler stream = new StreamAssembler();
  private PlacementPlan plan = new PlacementPlan(List.of(), false);
  private Deque<PlannedOffer> remainingOffers = new ArrayDeque<>();
  private int roundStart;
  private long retryAtMicros;
  private long candidateDeadlineMicros;
  private int consumed;
  private int reportedConsumed;

  ChatExchange(
      RequestId id,
      TeamTemplate team,
      CacheIdentity identity,
      RenderedPrompt prompt,
      int maximumOutputTokens,
      long configurationOffset,
      long arrivedAtMicros,
      long deadlineMicros) {
    super(id, team, arrivedAtMicros, deadlineMicros);
    this.identity = identity;
    this.prompt = prompt;
    this.maximumOutputTokens = maximumOutputTokens;
    this.configurationOffset = configurationOffset;
    this.candidateDeadlineMicros = arrivedAtMicros + CANDIDATE_WAIT_MICROS;
  }

  CacheIdentity identity() {
    return identity;
  }

  RenderedPrompt prompt() {
    return prompt;
  }

  /** Returns what the prompt has in common with others that may crash engines. */
  RequestSignature signature() {
    return prompt.signature();
  }

  String fingerprint() {
    return prompt.fingerprint();
  }

  int maximumOutputTokens() {
    return maximumOutputTokens;
  }

  long configurationOffset() {
    return configurationOffset;
  }

  StreamAssembler stream() {
    return stream;
  }

  boolean hasStarted() {
    return stream.position() > 0;
  }

  PlacementPlan plan() {
    return plan;
  }

  /** Returns the names of the upstreams in the plan, in order of preference. */
  List<String> plannedUpstreams() {
    return plan.offers().stream().map(offer -> offer.candidate().name()).toList();
  }

  /** Starts a round of offers in the order of a plan. */
  void startRound(PlacementPlan newPlan) {
    plan = newPlan;
    remainingOffers = new ArrayDeque<>(newPlan.offers());
    roundStart = attempts().size();
    retryAtMicros = 0;
  }

  /** Returns the offers of the plan that have not been sent in this round. */
  Deque<PlannedOffer> remainingOffers() {
    return remainingOffers;
  }

  /** Returns the attempts of this round. */
  List<Attempt> roundAttempts() {
    return attempts().subList(roundStart, attempts().size());
  }

  /** Returns when the next round starts, or 0 if none is scheduled. */
  long retryAtMicros() {
    return retryAtMicros;
  }

  void setRetryAtMicros(long atMicros) {
    retryAtMicros = atMicros;
  }

  /** Returns until when the request may wait for an engine to become available. */
  long candidateDeadlineMicros() {
    return candidateDeadlineMicros;
  }

  void setCandidateDeadlineMicros(long untilMicros) {
    candidateDeadlineMicros = untilMicros;
  }

  int consumed() {
    return consumed;
  }

  void onConsumed(int position) {
    consumed = Math.max(consumed, Math.min(position, stream.position()));
  }

  int unreportedConsumed() {
    return consumed - reportedConsumed;
  }

  void onConsumedReported() {
    reportedConsumed = consumed;
  }

  @Override
  Explanation explain(
      Outcome finalOutcome, Optional<Refusal> refusal, long endedAtMicros, String end) {
    return new Explanation(
        id(),
        team().name(),
        identity.modelVersion().toString(),
        arrivedAtMicros(),
        deadlineMicros(),
        configurationOffset,
        prompt.keys().size(),
        fingerprint(),
        plannedUpstreams(),
        explainAttempts(),
        explainRetries(),
        finalOutcome,
        refusal,
        endedAtMicros,
        end);
  }
}
