package org.shallothook.coordination.allowance;

import org.shallothook.state.route.TeamAllowance;

/**
 * How far the use of an allowance may exceed it, over all routers together: in no window may it be
 * more than {@code (rate * window + burst) * (1 + overshoot) + slack}.
 *
 * <p>Immutable and thread-safe.
 *
 * @param windowSeconds length of the window
 * @param overshoot excess as a fraction of the allowance
 * @param slack further excess, in the units of the allowance
 */
public record AllowanceBound(double windowSeconds, double overshoot, double slack) {
  /** The bound of a deployment that states none. */
  public static final AllowanceBound DEFAULT = new AllowanceBound(8, 0.1, 0);

  public AllowanceBound {
    if (!(windowSeconds > 0 && overshoot >= 0 && slack >= 0)) {
      throw new IllegalArgumentException(
          "Not a bound: " + windowSeconds + ", " + overshoot + ", " + slack);
    }
  }

  /** Returns the excess that is allowed in a window. */
  double toleranceOf(TeamAllowance allowance) {
    return overshoot * (allowance.perSecond() * windowSeconds + allowance.burst()) + slack;
  }

  /**
   * Returns what all routers together may save up. Half of the tolerance is not used for it, since
   * routers learn late what the others use.
   */
  double capacityOf(TeamAllowance allowance) {
    return allowance.burst() + toleranceOf(allowance) / 2;
  }
}
