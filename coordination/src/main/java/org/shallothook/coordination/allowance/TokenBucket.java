package org.shallothook.coordination.allowance;

/**
 * Level of what may be used. Its owner states capacity and floor with each change, since both
 * change with the allowance and the share.
 *
 * <p>Not thread-safe.
 */
final class TokenBucket {
  private double level;

  double level() {
    return level;
  }

  /** Adds up to a capacity; a level above it is cut. */
  void add(double amount, double capacity) {
    level = Math.min(capacity, level + amount);
  }

  /** Takes down to a floor. */
  void take(double amount, double floor) {
    level = Math.max(floor, level - amount);
  }

  /** Discards what was saved up; a debt remains. */
  void empty() {
    level = Math.min(0, level);
  }
}
