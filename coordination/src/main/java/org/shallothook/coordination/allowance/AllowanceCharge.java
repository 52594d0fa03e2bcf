package org.shallothook.coordination.allowance;

import org.shallothook.coordination.port.Counters;

/**
 * What an accepted request was charged, until it has its final response.
 *
 * <p>A charge pays for one attempt that may have run. An attempt that did not run leaves it for the
 * next one; an attempt after one that may have run is charged again.
 *
 * <p>Invariant: once closed, the request was charged once for each attempt that may have run. Not
 * thread-safe.
 */
public final class AllowanceCharge {
  private final TeamBudget budget;
  private final long cost;
  private final Counters counters;
  private boolean isUnspent = true;

  AllowanceCharge(TeamBudget budget, long cost, Counters counters) {
    this.budget = budget;
    this.cost = cost;
    this.counters = counters;
  }

  /** Records that an attempt was sent to a server. */
  public void onSent(long nowMicros) {
    if (!isUnspent) {
      budget.charge(cost, nowMicros);
      counters.increment("allowances.charged-again");
    }
    isUnspent = false;
  }

  /** Records that the attempt has ended. */
  public void onAttemptEnded(boolean mayHaveRun) {
    isUnspent |= !mayHaveRun;
  }

  /** Gives back what no attempt has used; the request has its final response. */
  public void close(long nowMicros) {
    if (isUnspent) {
      budget.refund(cost, nowMicros);
      isUnspent = false;
    }
  }
}
