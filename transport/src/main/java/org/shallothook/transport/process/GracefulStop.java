package org.shallothook.transport.process;

import java.util.concurrent.CountDownLatch;
import org.shallothook.transport.logging.LogComponent;

/**
 * Drains a process on SIGTERM or SIGINT and then ends it with exit code 0.
 *
 * <p>Invariant: {@code drain} runs once; the process ends only after {@link #onDrained} was called
 * and {@code close} has run. Thread-safe.
 */
public final class GracefulStop {
  private final Runnable drain;
  private final Runnable close;
  private final CountDownLatch onDrained = new CountDownLatch(1);

  /**
   * Creates a graceful stop that is not installed yet.
   *
   * @param drain starts to drain and returns immediately
   * @param close closes sockets and threads after the drain
   */
  public GracefulStop(Runnable drain, Runnable close) {
    this.drain = drain;
    this.close = close;
  }

  /** Installs the stop as a shutdown hook of the process. */
  public void install() {
    Runtime.getRuntime().addShutdownHook(new Thread(this::stop, "graceful-stop"));
  }

  /** Reports that no work is left. */
  public void onDrained() {
    onDrained.countDown();
  }

  private void stop() {
    LogComponent.PROCESS.info("Draining.");
    drain.run();
    try {
      onDrained.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    close.run();
    LogComponent.PROCESS.info("Stopped.");
    // Without this, the exit code of the JVM would be that of the signal instead of 0.
    Runtime.getRuntime().halt(0);
  }
}
