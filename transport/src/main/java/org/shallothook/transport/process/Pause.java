package org.shallothook.transport.process;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * Waits between two questions of a command line.
 *
 * <p>Stateless and thread-safe.
 */
public final class Pause {
  private Pause() {}

  /** Waits for some milliseconds. */
  public static void ofMillis(long millis) throws InterruptedException {
    CountDownLatch never = new CountDownLatch(1);
    if (never.await(millis, TimeUnit.MILLISECONDS)) {
      throw new IllegalStateException("The latch is never released.");
    }
  }
}
