package org.shallothook.standins.fault;

/**
 * Faults injected into one stand-in, and counts of their effects.
 *
 * <p>The host of a model calls {@link #faultOf} for each request and {@link #responseAtMicros} for
 * the time at which to send its response.
 *
 * <p>Invariant: with no fault active, every request is served immediately. Not thread-safe: used
 * only on the thread that hosts the stand-in. Times are in microseconds.
 */
public final class InjectedFaults {
  private long downUntilMicros;
  private long outageUntilMicros;
  private long frozenUntilMicros;
  private long delayUntilMicros;
  private long delayMicros;
  private long responsesToDrop;
  private long requestsToDrop;
  private long refused;
  private long dropped;
  private long answersLost;

  /** Closes the address until a time: new connections are refused and open ones are dropped. */
  public void setDownUntil(long untilMicros) {
    downUntilMicros = untilMicros;
  }

  /** Refuses all requests until a time. */
  public void setOutageUntil(long untilMicros) {
    outageUntilMicros = untilMicros;
  }

  /** Suspends all requests and responses until a time. */
  public void setSuspendedUntil(long untilMicros) {
    frozenUntilMicros = untilMicros;
  }

  /** Delays all responses by a number of microseconds until a time. */
  public void setDelay(long microseconds, long untilMicros) {
    delayMicros = microseconds;
    delayUntilMicros = untilMicros;
  }

  /** Applies the next state-changing requests but drops their responses. */
  public void dropResponses(long count) {
    responsesToDrop = count;
  }

  /** Drops the next state-changing requests before they are applied. */
  public void dropRequests(long count) {
    requestsToDrop = count;
  }

  /** Clears all faults. */
  public void clear() {
    downUntilMicros = 0;
    outageUntilMicros = 0;
    frozenUntilMicros = 0;
    delayUntilMicros = 0;
    responsesToDrop = 0;
    requestsToDrop = 0;
  }

  /** Returns whether the address is closed. */
  public boolean isDown(long nowMicros) {
    return nowMicros < downUntilMicros;
  }

  /** Returns the time until which the address is closed; in the past if it is open. */
  public long downUntilMicros() {
    return downUntilMicros;
  }

  /** Returns when work that is due at a time is executed: then, or when the suspension ends. */
  public long resumedAtMicros(long nowMicros) {
    return Math.max(nowMicros, frozenUntilMicros);
  }

  /** Returns when the response to a request handled at a time is sent. */
  public long responseAtMicros(long nowMicros) {
    long delay = nowMicros < delayUntilMicros ? delayMicros : 0;
    return resumedAtMicros(nowMicros) + delay;
  }

  /**
   * Returns the fault that applies to a request, and counts it.
   *
   * @param hasEffect whether the request changes state
   * @param nowMicros time of the request, in microseconds
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
    if (hasEffect && responsesToDrop > 0) {
      responsesToDrop--;
      answersLost++;
      return RequestFault.ANSWER_LOST;
    }
    return RequestFault.SERVED;
  }

  /** Returns the number of requests refused during outages. */
  public long refused() {
    return refused;
  }

  /** Returns the number of requests dropped before they were applied. */
  public long dropped() {
    return dropped;
  }

  /** Returns the number of responses dropped after their requests were applied. */
  public long answersLost() {
    return answersLost;
  }
}
