package org.shallothook.benchmarks.process;

import java.util.concurrent.Callable;
import java.util.concurrent.locks.LockSupport;

/** Waits for states of other processes. Stateless and thread-safe. */
final class Until {
  private static final long LONGEST_WAIT_NANOS = 240_000_000_000L;
  private static final long PAUSE_NANOS = 20_000_000;

  private Until() {}

  /** Asks until the answer is yes; a question that fails counts as no. */
  static void yes(String state, Callable<Boolean> question) {
    long deadline = System.nanoTime() + LONGEST_WAIT_NANOS;
    while (!isYes(question)) {
      if (System.nanoTime() - deadline > 0) {
        throw new AssertionError("Not reached: " + state);
      }
      LockSupport.parkNanos(PAUSE_NANOS);
    }
  }

  private static boolean isYes(Callable<Boolean> question) {
    try {
      return question.call();
    } catch (Exception e) {
      return false;
    }
  }
}
