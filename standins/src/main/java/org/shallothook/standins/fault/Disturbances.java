package org.shallothook.standins.fault;

/**
 * Faults in force at one stand-in.
 *
 * <p>Whoever hosts a model asks {@link #faultOf} for each request and {@link #answerAtMicros} for
 * the time of its answer.
 *
 * <p>Invariant: without a fault set, every request is served at once. Not thread-safe: the thread
 * that hosts the stand-in owns it.
 */
public final class Disturbances {
  private long downUntilMicros;
  private long outageUntilMicros;
  private long frozenUntilMicros;
  private long delayUntilMicros;
  private long delayMicros;
  private long answersToLose;
  private long requestsToDrop;
  private long refused;
  private long dropped;
  private long answersLost;

  /** Closes the address until a time: connections are refused and open ones are lost. */
  public void setDownUntil(long untilMicros) {
    downUntilMicros = untilMicros;
  }

  /** Refuses every request until a time. */
  public void setOutageUntil(long untilMicros) {
    outageUntilMicros = untilMicros;
  }

  /** Holds every request and answer back until a time. */
  public void setFrozenUntil(long untilMicros) {
    frozenUntilMicros = untilMicros;
  }

  /** Delays every answer by a number of microseconds until a time. */
  public void setDelay(long microseconds, long untilMicros) {
    delayMicros = microseconds;
    delayUntilMicros = untilMicros;
  }

  /** Loses the answers of the next requests that have an effect. */
  public void loseAnswers(long count) {
    answersToLose = count;
  }

  /** Loses the next requests that have an effect before they take it. */
  public void dropRequests(long count) {
    requestsToDrop = count;
  }

  /** Ends every fault. */
  public void clear() {
    downUntilMicros = 0;
    outageUntilMicros = 0;
    frozenUntilMicros = 0;
    delayUntilMicros = 0;
    answersToLose = 0;
    requestsToDrop = 0;
  }

  /** Returns whether the address is closed. */
  public boolean isDown(long nowMicros) {
    return nowMicros < downUntilMicros;
  }

  /** Returns until when the address is closed; a past time where it is open. */
  public long downUntilMicros() {
    return downUntilMicros;
  }

  /** Returns when work that is due now is carried out. */
  public long resumedAtMicros(long nowMicros) {
    return Math.max(nowMicros, frozenUntilMicros);
  }

  /** Returns when a request that is answered now has its answer sent. */
  public long answerAtMicros(long nowMicros) {
    long delay = nowMicros < delayUntilMicros ? delayMicros : 0;
    return resumedAtMicros(nowMicros) + delay;
  }

  /**
   * Decides on one request and counts it.
   *
   * @param hasEffect whether the request changes anything
   * @param nowMicros time of the request
   */
  public RequestFault faultOf(boolean hasEffect, long nowMicros) {
    if (nowMicros < outageUntilMicros) {
      refused++;
      return RequestFault.REFUSED;
    }
    if (hasEffect && requestsToDrop > 0) {
      requestsToDrop--;
      dropped++;
      return RequestFault.DROPPED;
    }
    if (hasEffect && answersToLose > 0) {
      answersToLose--;
      answersLost++;
      return RequestFault.ANSWER_LOST;
    }
    return RequestFault.SERVED;
  }

  /** Returns the number of requests refused in outages. */
  public long refused() {
    return refused;
  }

  /** Returns the number of requests lost before they took effect. */
  public long dropped() {
    return dropped;
  }

  /** Returns the number of answers lost after the effect. */
  public long answersLost() {
    return answersLost;
  }
}
