package org.shallothook.coordination.admission;

import java.util.List;
import org.shallothook.coordination.message.PeerMessage;
import org.shallothook.state.cache.BlockKey;
import org.shallothook.state.configuration.PriorityClass;
import org.shallothook.state.request.AttemptId;
import org.shallothook.state.request.Outcome;

/**
 * An attempt admitted at this sidecar, from its reservation to its end.
 *
 * <p>A preempted or refused attempt has several runs on the engine. Each run has its own
 * identifier, so that late events of an earlier run are recognised.
 *
 * <p>Invariants: the position never decreases; the delivered text is the text of all tokens before
 * it. Not thread-safe: used on the decision thread.
 */
final class AdmittedAttempt {
  /** Stage in the lifecycle of an attempt. */
  enum Stage {
    /** Has a reservation; its prompt has not been submitted yet. */
    RESERVED,
    /** Waits in the queue. */
    QUEUED,
    /** Runs on the engine. */
    RUNNING,
    /** Has ended. */
    OVER
  }

  /**
   * Exceeds the number of attempts that a router makes for one request, so that run identifiers are
   * unique.
   */
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

  /** Returns whether this attempt has relayed any token. */
  boolean hasDelivered() {
    return position > offer.resumePosition();
  }

  boolean isPaused() {
    return isPaused;
  }

  double chargedCost() {
    return chargedCost;
  }

  /** Returns the outcome to report if this attempt fails now. */
  Outcome outcome() {
    return hasReachedEngine ? Outcome.UNKNOWN : Outcome.NOT_RUN;
  }

  /** Returns the number of relayed tokens that the caller has not read. */
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

  /** Returns to the queue after the engine refused the run. */
  void requeueRefused() {
    engineRefusals++;
    hasReachedEngine = hasEarlierRunReachedEngine();
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

  private boolean hasEarlierRunReachedEngine() {
    return runs - engineRefusals > 0;
  }

  private AttemptId nextRun() {
    return new AttemptId(attempt().request(), attempt().number() + runs * RUN_NUMBER_STEP);
  }
}
