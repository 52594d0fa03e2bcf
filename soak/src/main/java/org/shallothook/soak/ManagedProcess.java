package org.shallothook.soak;

import java.io.IOException;
import java.io.RandomAccessFile;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.tinylog.Logger;

/**
 * One process of the product, started, signalled and restarted by its id alone.
 *
 * <p>Invariant: at most one process runs at a time; all its lives write to one log. Thread-safe.
 */
final class ManagedProcess {
  /** Time in which the system ends a killed process. */
  private static final long KILL_MILLIS = 5_000;

  private final String name;
  private final List<String> command;
  private final Path log;
  private Process process;
  private boolean isStopping;
  private long disturbedUntilNanos;
  private long logBytesBefore;

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
    logBytesBefore = log.toFile().length();
    try {
      process =
          new ProcessBuilder(command)
              .redirectErrorStream(true)
              .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
              .start();
      isStopping = false;
    } catch (IOException e) {
      throw new IllegalStateException("Cannot start " + name + "; is Java on the path?", e);
    }
  }

  /** Sends a signal, if the process runs. */
  synchronized void signal(String signal) {
    if (!isAlive()) {
      return;
    }
    isStopping |= signal.equals("TERM");
    try {
      new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    } catch (IOException e) {
      throw new IllegalStateException("Cannot signal " + name, e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Notes that callers may fare badly at the process for a while. */
  synchronized void disturbed(long millis) {
    long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
    disturbedUntilNanos = Math.max(disturbedUntilNanos, until);
  }

  /** Returns whether the process was disturbed at or after a moment. */
  synchronized boolean wasDisturbedSince(long nanos) {
    return disturbedUntilNanos - nanos > 0;
  }

  /**
   * Returns whether the process has written its first line since its start; before that its runtime
   * may not be ready for signals.
   */
  synchronized boolean hasStarted() {
    try (RandomAccessFile written = new RandomAccessFile(log.toFile(), "r")) {
      return isAlive() && written.length() > logBytesBefore;
    } catch (IOException e) {
      Logger.debug("soak: the log of {} cannot be read: {}", name, e.getMessage());
      return false;
    }
  }

  synchronized void kill() {
    if (isAlive()) {
      process.destroyForcibly();
      awaitEnd(process, KILL_MILLIS);
    }
  }

  synchronized boolean isAlive() {
    return process != null && process.isAlive();
  }

  /** Returns whether the process takes new requests, as a balancer would see it soon. */
  synchronized boolean isServing() {
    return isAlive() && !isStopping;
  }

  /** Begins a planned stop and returns the life that is to end. */
  synchronized Process stop() {
    signal("TERM");
    return process;
  }

  /** Waits for the end of a life; returns whether it came. */
  boolean awaitEnd(Process life, long millis) {
    try {
      return life.waitFor(millis, TimeUnit.MILLISECONDS);
    } catch (InterruptedException e) {
      Logger.debug("soak: interrupted while {} ends", name);
      Thread.currentThread().interrupt();
      return false;
    }
  }
}
