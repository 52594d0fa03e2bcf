package org.shallothook.coordination.retry;

/**
 * Allows retries up to a share of recent successes, so that retries cannot multiply an overload.
 *
 * <p>Invariant: within a window, retries never exceed the minimum plus the share of successes. Not
 * thread-safe.
 */
public final class RetryBudget {
  private static final int SLOTS = 10;

  private final double share;
  private int minimum;
  private final long slotMicros;
  private final long[] successes = new long[SLOTS];
  private final long[] retries = new long[SLOTS];
  private long currentSlot;

  /**
   * Creates a budget.
   *
   * @param share retries allowed for each success
   * @param minimum retries allowed in a window without any success
   * @param windowMicros length of the window, in microseconds
   */
  public RetryBudget(double share, int minimum, long windowMicros) {
    this.share = share;
    this.minimum = minimum;
    this.slotMicros = Math.max(1, windowMicros / SLOTS);
  }

  /** Changes the retries allowed without any success; those already taken still count. */
  public void changeMinimum(int newMinimum) {
    minimum = newMinimum;
  }

  /** Counts a success. */
  public void onSuccess(long nowMicros) {
    successes[slotAt(nowMicros)]++;
  }

  /** Takes a retry from the budget and returns whether there was one left. */
  public boolean tryRetry(long nowMicros) {
    int slot = slotAt(nowMicros);
    if (sum(retries) >= minimum + share * sum(successes)) {
      return false;
    }
    retries[slot]++;
    return true;
  }

  private int slotAt(long nowMicros) {
    long slot = nowMicros / slotMicros;
    long first = Math.max(currentSlot + 1, slot - SLOTS + 1);
    for (long passed = first; passed <= slot; passed++) {
      successes[indexOf(passed)] = 0;
      retries[indexOf(passed)] = 0;
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
