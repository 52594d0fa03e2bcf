package org.shallothook.coordination.retry;

/**
 * Limits retries to a fraction of recent successes, so that retries cannot amplify an overload.
 *
 * <p>Invariant: within a window, retries never exceed the minimum plus the fraction of successes,
 * rounded up. Not thread-safe.
 */
public final class RetryBudget {
  /** Slots that the sliding window is counted in. */
  private static final int SLOTS = 10;

  private final double retriesPerSuccess;
  private int minimum;
  private final long slotMicros;
  private final long[] successes = new long[SLOTS];
  private final long[] retries = new long[SLOTS];
  private long currentSlot;

  /**
   * Creates a budget.
   *
   * @param retriesPerSuccess retries allowed per success
   * @param minimum retries allowed in a window without any success
   * @param windowMicros length of the window, in microseconds
   */
  public RetryBudget(double retriesPerSuccess, int minimum, long windowMicros) {
    this.retriesPerSuccess = retriesPerSuccess;
    this.minimum = minimum;
    this.slotMicros = Math.max(1, windowMicros / SLOTS);
  }

  /** Changes the retries allowed without any success; retries already made in the window count. */
  public void setMinimum(int newMinimum) {
    minimum = newMinimum;
  }

  /** Records a success. */
  public void onSuccess(long nowMicros) {
    successes[slotAt(nowMicros)]++;
  }

  /** Spends one retry and returns true, or returns false if the budget is exhausted. */
  public boolean tryAcquire(long nowMicros) {
    int slot = slotAt(nowMicros);
    if (sum(retries) >= minimum + retriesPerSuccess * sum(successes)) {
      return false;
    }
    retries[slot]++;
    return true;
  }

  private int slotAt(long nowMicros) {
    long slot = nowMicros / slotMicros;
    long first = Math.max(currentSlot + 1, slot - SLOTS + 1);
    for (long expired = first; expired <= slot; expired++) {
      successes[indexOf(expired)] = 0;
      retries[indexOf(expired)] = 0;
    }
    currentSlot = Math.max(currentSlot, slot);
    return indexOf(currentSlot);
  }

  private static int indexOf(long slot) {
    return Math.floorMod(slot, SLOTS);
  }

  private static long sum(long[] values) {
    long total = 0;
    for (long value : values) {
      total += value;
    }
    return total;
  }
}
