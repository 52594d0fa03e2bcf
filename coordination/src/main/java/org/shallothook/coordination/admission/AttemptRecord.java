package org.shallothook.coordination.admission;

import org.shallothook.coordination.message.PeerMessage;
import org.shallothook.state.request.AttemptId;
import org.shallothook.state.request.Outcome;

/**
 * What happened to one attempt at this sidecar, kept for {@code explain}.
 *
 * <p>Times are microseconds since the epoch; 0 where it has not come to pass. Not thread-safe: used
 * on the decision thread.
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

  /** Returns how the attempt ended: {@code done}, a refusal's code, or empty while it goes on. */
  public String end() {
    return end;
  }

  /** Returns what is known of the attempt's effect. */
  public Outcome outcome() {
    return outcome;
  }

  /** Returns the number of times that the attempt was preempted. */
  public int preemptions() {
    return preemptions;
  }

  /** Returns leading blocks that the engine took from its cache; -1 while unknown. */
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

  void noteStarted(long nowMicros) {
    startedMicros = startedMicros == 0 ? nowMicros : startedMicros;
  }

  void noteToken(long nowMicros) {
    firstTokenMicros = firstTokenMicros == 0 ? nowMicros : firstTokenMicros;
  }

  void notePreempted() {
    preemptions++;
  }

  void noteEnd(String how, Outcome known, long nowMicros) {
    end = how;
    outcome = known;
    endedMicros = nowMicros;
  }

  void noteDone(int cached, long nowMicros) {
    cachedBlocks = cached;
    noteEnd("done", Outcome.DONE, nowMicros);
  }
}
