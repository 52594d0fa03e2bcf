package org.shallothook.transport.process;

import java.util.concurrent.CountDownLatch;
import org.shallothook.transport.logging.LogComponent;

/**
 * Ends a process on SIGTERM or SIGINT once its work is done, with exit code 0.
 *
 * <p>Invariant: {@code drain} runs once; the process ends only after {@link #drained} was called
 * and {@code close} has run. Thread-safe.
 */
public final class GracefulStop {
  private final Runnable drain;
  private final Runnable close;
  private final CountDownLatch drained = new CountDownLatch(1);

  /**
   * Creates a stop that is not armed yet.
   *
   * @param drain starts to drain and returns at once
   * @param close closes sockets and threads after the drain
   */
  public GracefulStop(Runnable drain, Runnable close) {
    this.drain = drain;
    this.close = close;
  }

  /** Makes the process stop in this way when it is told to. */
  public void install() {
    Runtime.getRuntime().addShutdownHook(new Thread(this::stop, "graceful-stop"));
  }

  /** Tells that no work is left. */
  public void drained() {
    drained.countDown();
  }

  private void stop() {
    LogComponent.PROCESS.info("Draining.");
    drain.run();
    try {
      drained.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    close.run();
    LogComponent.PROCESS.info("Stopped.");
    // Without this the JVM reports the signal instead of a planned stop.
    Runtime.getRuntime().halt(0);
  }
}
