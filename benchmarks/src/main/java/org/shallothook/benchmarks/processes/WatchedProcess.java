package org.shallothook.benchmarks.processes;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.List;

/**
 * A process whose costs are read.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name name in the report
 * @param handle the process
 */
record WatchedProcess(String name, ProcessHandle handle) {
  private static final String RESIDENT = "VmRSS:";

  /**
   * Finds a process.
   *
   * @param name name in the report
   * @param processId its number
   * @throws IllegalArgumentException if there is none
   */
  static WatchedProcess of(String name, long processId) {
    ProcessHandle handle =
        ProcessHandle.of(processId)
            .orElseThrow(
                () ->
                    new IllegalArgumentException(
                        "No process " + processId + "; start it before it is measured."));
    return new WatchedProcess(name, handle);
  }

  /** Returns the processor time used since the start, user and system. */
  Duration processorTime() {
    return handle
        .info()
        .totalCpuDuration()
        .orElseThrow(() -> new IllegalStateException("Process " + name + " has ended."));
  }

  /** Returns the time since the start. */
  Duration age() {
    Instant start = handle.info().startInstant().orElseThrow();
    return Duration.between(start, Instant.now());
  }

  /** Returns the resident memory, in kilobytes. */
  long residentKilobytes() {
    try {
      List<String> lines = Files.readAllLines(Path.of("/proc", handle.pid() + "", "status"));
      return lines.stream()
          .filter(line -> line.startsWith(RESIDENT))
          .mapToLong(line -> Long.parseLong(line.replaceAll("\\D", "")))
          .findFirst()
          .orElseThrow(() -> new IllegalStateException("Process " + name + " has ended."));
    } catch (IOException e) {
      throw new UncheckedIOException("Cannot read the memory of process " + name + ".", e);
    }
  }
}
