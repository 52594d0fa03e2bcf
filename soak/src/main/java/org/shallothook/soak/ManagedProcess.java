package org.shallothook.soak;

import java.io.IOException;
import java.io.RandomAccessFile;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/**
 * A router or sidecar process that is started, signalled and restarted. Signals are sent by process
 * id only.
 *
 * <p>Invariant: at most one process runs at a time; all its incarnations append to one log.
 * Thread-safe.
 */
final class ManagedProcess {
  /** Time in which the operating system ends a killed process, in milliseconds. */
  private static final long KILL_TIMEOUT_MILLIS = 5_000;

  private final String name;
  private final List<String> command;
  private final Path log;
  private Process process;
  private boolean isStopping;
  private long disturbedUntilNanos;
  private long logBytesAtStart;

  ManagedProcess(String name, List<String> command, Path log) {
    this.name = name;
    this.command = List.copyOf(command);
    this.log = log;
  }

  String name() {
    return name;
  }

  synchronized void start() {
    if (process != null && process.isAlive()) {
      return;
    }
    logBytesAtStart = log.toFile().length();
    try {
      process =
          new ProcessBuilder(command)
              .redirectErrorStream(true)
              .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
              .start();
      isStopping = false;
    } catch (IOException e) {
      throw new IllegalStateException("Cannot start " + name + "; is Java on the PATH?", e);
    }
  }

  /** Sends a signal to the process if it is running. */
  synchronized void signal(String signal) {
    if (!isAlive()) {
      return;
    }
    isStopping |= signal.equals("TERM");
    try {
      new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    } catch (IOException e) {
      throw new IllegalStateException("Cannot send signal " + signal + " to " + name, e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Records that requests to the process may fail during the given time from now on. */
  synchronized void markDisturbed(long millis) {
    long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
    disturbedUntilNanos = Math.max(disturbedUntilNanos, until);
  }

  /** Returns whether the process was disturbed at or after the given {@code System.nanoTime()}. */
  synchronized boolean wasDisturbedSince(long nanos) {
    return disturbedUntilNanos - nanos > 0;
  }

  /**
   * Returns whether the process has written to its log since its start. Before that, its runtime
   * may not have installed its signal handlers.
   */
  synchronized boolean hasStarted() {
    try (RandomAccessFile logFile = new RandomAccessFile(log.toFile(), "r")) {
      return isAlive() && logFile.length() > logBytesAtStart;
    } catch (IOException e) {
      Logger.debug("soak: the log of {} cannot be read: {}", name, e.getMessage());
      return false;
    }
  }

  synchronized void kill() {
    if (isAlive()) {
      process.destroyForcibly();
      awaitExit(process, KILL_TIMEOUT_MILLIS);
    }
  }

  synchronized boolean isAlive() {
    return process != null && process.isAlive();
  }

  /** Returns whether a load balancer would send new requests to the process. */
  synchronized boolean isServing() {
    return isAlive() && !isStopping;
  }

  /** Requests a graceful stop with SIGTERM and returns the incarnation that is to exit. */
  synchronized Process requestStop() {
    signal("TERM");
    return process;
  }

  /** Waits until an incarnation exits; returns false on a timeout or an interrupt. */
  boolean awaitExit(Process incarnation, long millis) {
    try {
      return incarnation.waitFor(millis, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Logger.debug("soak: interrupted while waiting for {} to exit", name);
      Thread.currentThread().interrupt();
      return false;
    }
  }
}
