package org.shallothook.coordination.router;

import java.util.Optional;
import org.shallothook.coordination.membership.Upstream;
import org.shallothook.coordination.message.Hint;
import org.shallothook.state.request.AttemptId;
import org.shallothook.state.request.RefusalReason;

/**
 * One attempt of a request at one upstream, from the offer to its end.
 *
 * <p>Invariant: an ended attempt never changes again. Not thread-safe.
 */
final class Attempt {

  /** Progress of an attempt. Immutable and thread-safe. */
  enum Phase {
    OFFERED,
    ACCEPTED,
    SUBMITTED,
    ENDED
  }

  private final AttemptId id;
  private final Upstream upstream;
  private final int rank;
  private final int fromPosition;
  private final boolean isAlone;
  private final long offeredAtMicros;
  private final String engineIncarnation;
  private Phase phase = Phase.OFFERED;
  private Optional<Hint> hint = Optional.empty();
  private Optional<RefusalReason> refusal = Optional.empty();
  private long validUntilMicros;
  private long costMicros;
  private long submittedAtMicros;
  private long firstFrameAtMicros;
  private long lastFrameAtMicros;
  private int toPosition;
  private boolean isSampled;
  private boolean isOverdue;
  private long endedAtMicros;
  private String end = "open";

  Attempt(
      AttemptId id,
      Upstream upstream,
      int rank,
      int fromPosition,
      boolean isAlone,
      long offeredAtMicros) {
    this.id = id;
    this.upstream = upstream;
    this.rank = rank;
    this.fromPosition = fromPosition;
    this.toPosition = fromPosition;
    this.isAlone = isAlone;
    this.offeredAtMicros = offeredAtMicros;
    this.engineIncarnation = upstream.engineIncarnation();
    upstream.onOpened();
  }

  AttemptId id() {
    return id;
  }

  Upstream upstream() {
    return upstream;
  }

  /** Returns the incarnation that the engine was known to have when the attempt was offered. */
  String engineIncarnation() {
    return engineIncarnation;
  }

  int rank() {
    return rank;
  }

  Phase phase() {
    return phase;
  }

  /**
   * Returns whether the upstream was asked to run the request alone, as it is suspected of crashing
   * engines.
   */
  boolean isAlone() {
    return isAlone;
  }

  boolean isOpen() {
    return phase != Phase.ENDED;
  }

  boolean isIn(Phase other) {
    return phase == other;
  }

  Optional<Hint> hint() {
    return hint;
  }

  Optional<RefusalReason> refusal() {
    return refusal;
  }

  /** Returns when the reservation expires or, after a refusal, the earliest time to retry. */
  long validUntilMicros() {
    return validUntilMicros;
  }

  long costMicros() {
    return costMicros;
  }

  long offeredAtMicros() {
    return offeredAtMicros;
  }

  long submittedAtMicros() {
    return submittedAtMicros;
  }

  /** Returns when the first frame arrived, or 0 if none has. */
  long firstFrameAtMicros() {
    return firstFrameAtMicros;
  }

  /** Returns when the latest frame arrived or, before the first one, when the prompt was sent. */
  long lastFrameAtMicros() {
    return Math.max(lastFrameAtMicros, submittedAtMicros);
  }

  /** Returns whether the time to the first token has been sampled. */
  boolean isSampled() {
    return isSampled;
  }

  void setSampled() {
    isSampled = true;
  }

  /** Returns whether no reply to the offer arrived in time. A later reply is still used. */
  boolean isOverdue() {
    return isOverdue;
  }

  void setOverdue() {
    isOverdue = true;
  }

  /** Returns whether the offer has no reply yet and is not overdue. */
  boolean isReplyPending() {
    return phase == Phase.OFFERED && !isOverdue;
  }

  int tokens() {
    return toPosition - fromPosition;
  }

  void onAccepted(Hint acceptedHint, long acceptedUntilMicros, long acceptedCostMicros) {
    phase = Phase.ACCEPTED;
    hint = Optional.of(acceptedHint);
    validUntilMicros = acceptedUntilMicros;
    costMicros = acceptedCostMicros;
  }

  void onRefused(RefusalReason reason, Hint refusedHint, long retryAtMicros, long nowMicros) {
    refusal = Optional.of(reason);
    hint = Optional.of(refusedHint);
    validUntilMicros = retryAtMicros;
    end("refused: " + reason.code(), nowMicros);
  }

  void onSubmitted(long nowMicros) {
    phase = Phase.SUBMITTED;
    submittedAtMicros = nowMicros;
  }

  void onFrame(int position, long nowMicros) {
    if (firstFrameAtMicros == 0) {
      firstFrameAtMicros = nowMicros;
    }
    lastFrameAtMicros = nowMicros;
    toPosition = position;
  }

  void end(String why, long nowMicros) {
    if (phase == Phase.ENDED) {
      return;
    }
    phase = Phase.ENDED;
    end = why;
    endedAtMicros = nowMicros;
    upstream.onClosed();
  }

  Explanation.AttemptExplanation explain() {
    return new Explanation.AttemptExplanation(
        id.number(),
        upstream.name(),
        upstream.failureDomain(),
        rank,
        isAlone,
        offeredAtMicros,
        hint,
        costMicros,
        submittedAtMicros,
        firstFrameAtMicros,
        fromPosition,
        toPosition,
        end,
        endedAtMicros);
  }
}
