package org.shallothook.transport.process;

import io.vavr.control.Try;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import java.util.function.Supplier;
import org.shallothook.transport.logging.LogComponent;

/**
 * Starts a process, drains it on SIGTERM or SIGINT, and then ends it with exit code 0.
 *
 * <pre>{@code
 * GracefulStop stop = new GracefulStop(this::drain, this::close);
 * stop.start(List.of(this::listenForPeers, this::listenForCallers));
 * }</pre>
 *
 * <p>Invariant: no step of the start runs before a stop would be noticed, or after it was
 * requested. {@code drain} runs at most once, after the last step that runs; the process ends only
 * after {@link #onDrained} was called and {@code close} has run. Thread-safe.
 */
public final class GracefulStop {
  private final LongConsumer drain;
  private final Runnable close;
  private final Consumer<Thread> shutdownHooks;
  private final Runnable end;
  private final CountDownLatch startEnded = new CountDownLatch(1);
  private final CountDownLatch onDrained = new CountDownLatch(1);
  private volatile boolean isRequested;
  private volatile boolean hasStarted;
  private volatile boolean hasFailed;

  /**
   * Creates a graceful stop.
   *
   * @param drain starts to drain and returns immediately; receives the time at which the process
   *     was told to stop, by {@link Clock#steadyMicros}
   * @param close closes sockets and threads after the drain
   */
  public GracefulStop(LongConsumer drain, Runnable close) {
    // Without the halt, the exit code of the JVM would be that of the signal instead of 0.
    this(drain, close, Runtime.getRuntime()::addShutdownHook, () -> Runtime.getRuntime().halt(0));
  }

  /**
   * Creates a graceful stop for another runtime.
   *
   * @param shutdownHooks receives the thread to run when the process is told to stop
   * @param end ends the process at once
   */
  GracefulStop(LongConsumer drain, Runnable close, Consumer<Thread> shutdownHooks, Runnable end) {
    this.drain = drain;
    this.close = close;
    this.shutdownHooks = shutdownHooks;
    this.end = end;
  }

  /**
   * Starts the process. If it is told to stop meanwhile, the remaining steps are left out, and the
   * process drains.
   *
   * @param steps steps of the start, such as listeners; the first failure ends the start
   * @return the failure of a step, which leaves it to the caller to end the process
   */
  public Try<Void> start(List<Supplier<Try<Void>>> steps) {
    try {
      shutdownHooks.accept(new Thread(this::stop, "graceful-stop"));
    } catch (IllegalStateException e) {
      LogComponent.PROCESS.info("Told to stop before the start.");
      return Try.success(null);
    }
    Try<Void> result = Try.success(null);
    for (Supplier<Try<Void>> step : steps) {
      if (result.isSuccess() && !isRequested) {
        hasStarted = true;
        result = step.get();
      }
    }
    hasFailed = result.isFailure();
    startEnded.countDown();
    return result;
  }

  /** Reports that no work is left. */
  public void onDrained() {
    onDrained.countDown();
  }

  private void stop() {
    long requestedMicros = Clock.steadyMicros();
    isRequested = true;
    try {
      startEnded.await();
      if (hasFailed) {
        return;
      }
      if (hasStarted) {
        LogComponent.PROCESS.info("Draining.");
        drain.accept(requestedMicros);
        onDrained.await();
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    if (hasStarted) {
      close.run();
    }
    LogComponent.PROCESS.info("Stopped.");
    end.run();
  }
}
