package org.shallothook.coordination.admission;

import org.shallothook.coordination.message.PeerMessage;
import org.shallothook.state.request.AttemptId;
import org.shallothook.state.request.Outcome;

/**
 * Record of an attempt at this sidecar, retained for {@code explain}.
 *
 * <p>Times are in microseconds since the epoch; 0 if the event has not occurred. Not thread-safe:
 * used on the decision thread.
 */
public final class AttemptRecord {
  private final AttemptId attempt;
  private final String team;
  private final String router;
  private final int rank;
  private final int blocks;
  private final int matchedBlocks;
  private final long queueDelayMicros;
  private final long offeredMicros;
  private long startedMicros;
  private long firstTokenMicros;
  private long endedMicros;
  private int preemptions;
  private int cachedBlocks = -1;
  private String end = "";
  private Outcome outcome = Outcome.NOT_RUN;

  AttemptRecord(
      String router,
      PeerMessage.Offer offer,
      int matchedBlocks,
      long queueDelayMicros,
      long offeredMicros) {
    this.attempt = offer.attempt();
    this.team = offer.identity().team();
    this.router = router;
    this.rank = offer.rank();
    this.blocks = offer.keys().size();
    this.matchedBlocks = matchedBlocks;
    this.queueDelayMicros = queueDelayMicros;
    this.offeredMicros = offeredMicros;
  }

  /** Returns the attempt. */
  public AttemptId attempt() {
    return attempt;
  }

  /**
   * Returns how the attempt ended: {@code done}, a refusal code, or the reason why it was dropped;
   * empty while it is open.
   */
  public String end() {
    return end;
  }

  /** Returns whether the attempt ran, as far as is known. */
  public Outcome outcome() {
    return outcome;
  }

  /** Returns the number of times that the attempt was preempted. */
  public int preemptions() {
    return preemptions;
  }

  /** Returns the number of leading blocks that the engine reused from its cache; -1 if unknown. */
  public int cachedBlocks() {
    return cachedBlocks;
  }

  /** Returns the record as one line of text. */
  public String describe() {
    return "attempt=%s team=%s router=%s rank=%d blocks=%d matched=%d queueDelayMicros=%d"
            .formatted(attempt, team, router, rank, blocks, matchedBlocks, queueDelayMicros)
        + " offered=%d started=%d firstToken=%d ended=%d preemptions=%d cachedBlocks=%d"
            .formatted(
                offeredMicros,
                startedMicros,
                firstTokenMicros,
                endedMicros,
                preemptions,
                cachedBlocks)
        + " end=%s outcome=%s".formatted(end.isEmpty() ? "open" : end, outcome.headerValue());
  }

  long offeredMicros() {
    return offeredMicros;
  }

  void recordStart(long nowMicros) {
    startedMicros = startedMicros == 0 ? nowMicros : startedMicros;
  }

  void recordToken(long nowMicros) {
    firstTokenMicros = firstTokenMicros == 0 ? nowMicros : firstTokenMicros;
  }

  void recordPreemption() {
    preemptions++;
  }

  void recordEnd(String reason, Outcome finalOutcome, long nowMicros) {
    end = reason;
    outcome = finalOutcome;
    endedMicros = nowMicros;
  }

  void recordCompletion(int cached, long nowMicros) {
    cachedBlocks = cached;
    recordEnd("done", Outcome.DONE, nowMicros);
  }
}
