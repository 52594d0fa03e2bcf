package org.shallothook.transport.process;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * Pauses between the repeated queries of a command-line tool.
 *
 * <p>Stateless and thread-safe.
 */
public final class Pause {
  private Pause() {}

  /** Waits for a number of milliseconds. */
  public static void ofMillis(long millis) throws InterruptedException {
    CountDownLatch never = new CountDownLatch(1);
    if (never.await(millis, TimeUnit.MILLISECONDS)) {
      throw new IllegalStateException("The latch is never released.");
    }
  }
}
