package org.shallothook.coordination.admission;

import java.util.List;
import org.shallothook.coordination.message.PeerMessage;
import org.shallothook.state.cache.BlockKey;
import org.shallothook.state.configuration.PriorityClass;
import org.shallothook.state.request.AttemptId;
import org.shallothook.state.request.Outcome;

/**
 * One attempt at this sidecar, from its offer to its end.
 *
 * <p>An attempt that is preempted runs on the engine more than once. Each run has an identifier of
 * its own, so that late events of an earlier run are recognised.
 *
 * <p>Invariants: the position never decreases; the delivered text is the text of all tokens before
 * the position. Not thread-safe: used on the decision thread.
 */
final class AdmittedAttempt {
  /** Where an attempt stands. */
  enum Stage {
    /** Has a place, and its prompt has not come yet. */
    RESERVED,
    /** Waits for the engine. */
    QUEUED,
    /** Runs on the engine. */
    RUNNING,
    /** Is over. */
    OVER
  }

  /** Greater than the number of attempts that a router makes of one request. */
  private static final int RUN_NUMBER_STEP = 1 << 16;

  private final String router;
  private PeerMessage.Offer offer;
  private final AttemptRecord record;
  private final long reservedUntilMicros;
  private Stage stage = Stage.RESERVED;
  private String prompt = "";
  private StringBuilder deliveredText = new StringBuilder();
  private int position;
  private int consumed;
  private int runs;
  private AttemptId run;
  private int preemptions;
  private int engineRefusals;
  private int prefillUnitsAhead;
  private int prefillUnits;
  private long runStartedMicros;
  private boolean hasTokenOfRun;
  private boolean hasReachedEngine;
  private boolean isPaused;
  private double chargedCost;

  AdmittedAttempt(
      String router, PeerMessage.Offer offer, long reservedUntilMicros, AttemptRecord record) {
    this.router = router;
    this.offer = offer;
    this.reservedUntilMicros = reservedUntilMicros;
    this.record = record;
    this.position = offer.resumePosition();
    this.consumed = offer.resumePosition();
    this.run = offer.attempt();
  }

  AttemptId attempt() {
    return offer.attempt();
  }

  String router() {
    return router;
  }

  PeerMessage.Offer offer() {
    return offer;
  }

  AttemptRecord record() {
    return record;
  }

  String team() {
    return offer.identity().team();
  }

  PriorityClass priority() {
    return offer.priority();
  }

  List<BlockKey> keys() {
    return offer.keys();
  }

  void setKeys(List<BlockKey> keys) {
    offer = offer.withKeys(keys);
  }

  long reservedUntilMicros() {
    return reservedUntilMicros;
  }

  Stage stage() {
    return stage;
  }

  boolean is(Stage other) {
    return stage == other;
  }

  boolean isSuspect() {
    return offer.isSuspect();
  }

  String prompt() {
    return prompt;
  }

  String deliveredText() {
    return deliveredText.toString();
  }

  int position() {
    return position;
  }

  int runs() {
    return runs;
  }

  /** Returns the identifier of the latest run on the engine. */
  AttemptId run() {
    return run;
  }

  int preemptions() {
    return preemptions;
  }

  int engineRefusals() {
    return engineRefusals;
  }

  int prefillUnits() {
    return prefillUnits;
  }

  int prefillUnitsAhead() {
    return prefillUnitsAhead;
  }

  long runStartedMicros() {
    return runStartedMicros;
  }

  boolean hasTokenOfRun() {
    return hasTokenOfRun;
  }

  /** Returns whether this attempt has passed any token on. */
  boolean hasDelivered() {
    return position > offer.resumePosition();
  }

  boolean isPaused() {
    return isPaused;
  }

  double chargedCost() {
    return chargedCost;
  }

  /** Returns what is known of this attempt's effect if it ends now without an answer. */
  Outcome outcome() {
    return hasReachedEngine ? Outcome.UNKNOWN : Outcome.NOT_RUN;
  }

  /** Returns the tokens sent that the caller has not taken. */
  int unconsumed() {
    return position - consumed;
  }

  void submit(PeerMessage.Submit submit) {
    prompt = submit.prompt();
    deliveredText = new StringBuilder(submit.deliveredText());
    stage = Stage.QUEUED;
  }

  void charge(double cost) {
    chargedCost = cost;
  }

  void start(int units, int unitsAhead, long nowMicros) {
    stage = Stage.RUNNING;
    run = nextRun();
    runs++;
    prefillUnits = units;
    prefillUnitsAhead = unitsAhead;
    runStartedMicros = nowMicros;
    hasTokenOfRun = false;
    isPaused = false;
    hasReachedEngine = true;
  }

  void preempt() {
    preemptions++;
    stage = Stage.QUEUED;
  }

  /** Goes back to the queue after the engine has not taken the run. */
  void returnUntaken() {
    engineRefusals++;
    hasReachedEngine = hasReachedEngineBefore();
    stage = Stage.QUEUED;
  }

  void deliver(int count, String text) {
    position += count;
    deliveredText.append(text);
    hasTokenOfRun = true;
  }

  void consume(int upTo) {
    consumed = Math.max(consumed, Math.min(upTo, position));
  }

  void setPaused(boolean paused) {
    isPaused = paused;
  }

  void finish() {
    stage = Stage.OVER;
  }

  private boolean hasReachedEngineBefore() {
    return runs - engineRefusals > 0;
  }

  private AttemptId nextRun() {
    return new AttemptId(attempt().request(), attempt().number() + runs * RUN_NUMBER_STEP);
  }
}
