package org.shallothook.transport.peer;

import java.util.concurrent.ThreadLocalRandom;

/**
 * Exponential backoff with jitter between connect attempts to one peer.
 *
 * <p>Invariant: never longer than {@link PeerSettings#maximumRetryDelay}. Not thread-safe.
 */
final class RetryDelay {
  /** Maximum number of messages queued for one connection. */
  static final int MAXIMUM_PENDING_MESSAGES = 1_024;

  private final PeerSettings settings;
  private long delayNanos;
  private long retryAtNanos;
  private boolean hasFailed;

  RetryDelay(PeerSettings settings) {
    this.settings = settings;
    reset();
  }

  void reset() {
    hasFailed = false;
    delayNanos = settings.firstRetryDelay().toNanos();
  }

  void failed() {
    long jittered = ThreadLocalRandom.current().nextLong(delayNanos / 2, delayNanos + 1);
    retryAtNanos = System.nanoTime() + jittered;
    hasFailed = true;
    delayNanos = Math.min(delayNanos * 2, settings.maximumRetryDelay().toNanos());
  }

  boolean isWaiting() {
    return hasFailed && System.nanoTime() - retryAtNanos < 0;
  }
}
