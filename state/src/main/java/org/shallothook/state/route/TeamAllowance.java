package org.shallothook.state.route;

import java.util.Objects;
import java.util.Optional;

/**
 * What a team may send, over all routers together: a rate, and a burst on top of it.
 *
 * <p>Invariant: the rate is positive and all numbers are finite. Immutable and thread-safe.
 *
 * @param perSecond rate in units per second
 * @param burst units beyond the rate; not negative
 * @param unit what is counted
 * @param uncachedTokens cost of a request that states no token counts, if tokens are counted
 */
public record TeamAllowance(
    double perSecond, double burst, AllowanceUnit unit, long uncachedTokens) {
  /** Greatest number of digits of a stated cost. */
  public static final int MAXIMUM_COST_DIGITS = 15;

  /**
   * Greatest cost of one request, far above that of any real one, so that a request which states an
   * absurd number neither overflows a sum nor takes the demand of a whole fleet to its router.
   */
  public static final long MAXIMUM_COST = 1_000_000_000;

  public TeamAllowance {
    Objects.requireNonNull(unit, "unit");
    if (!(perSecond > 0 && burst >= 0 && uncachedTokens >= 0)
        || Double.isInfinite(perSecond)
        || Double.isInfinite(burst)) {
      throw new IllegalArgumentException(
          "Not an allowance: " + perSecond + ", " + burst + ", " + uncachedTokens);
    }
  }

  /**
   * Returns the cost of a request, at most {@link #MAXIMUM_COST}.
   *
   * @param statedTokens tokens that the request states; empty if it states none
   */
  public long costOf(Optional<Long> statedTokens) {
    return Math.min(MAXIMUM_COST, unit.costOf(statedTokens, uncachedTokens));
  }
}
