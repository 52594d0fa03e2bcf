package org.shallothook.coordination.allowance;

/**
 * Rate of amounts, weighted by an exponential decay with their age.
 *
 * <p>Not thread-safe.
 */
final class SmoothedRate {
  /** Time constant of the decay, in seconds. */
  static final double DECAY_SECONDS = 2;

  private static final double DECAY_MICROS = DECAY_SECONDS * 1_000_000;

  private double perSecond;
  private long updatedMicros;

  void add(double amount, long nowMicros) {
    perSecond = perSecond(nowMicros) + amount / DECAY_SECONDS;
    updatedMicros = Math.max(updatedMicros, nowMicros);
  }

  double perSecond(long nowMicros) {
    double age = Math.max(0, nowMicros - updatedMicros);
    return perSecond * Math.exp(-age / DECAY_MICROS);
  }
}
