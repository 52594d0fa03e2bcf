package org.shallothook.benchmarks.load;

import java.time.Duration;
import java.util.List;

/**
 * Processor time that the routers of a demonstration have used, as the system counts it.
 *
 * <p>Immutable and thread-safe.
 */
final class RouterProcessor {
  private final List<ProcessHandle> routers;

  private RouterProcessor(List<ProcessHandle> routers) {
    this.routers = List.copyOf(routers);
  }

  /** Finds the running processes that serve with one of the settings files. */
  static RouterProcessor find(List<String> settingsFiles) {
    return new RouterProcessor(
        ProcessHandle.allProcesses()
            .filter(process -> servesWithOneOf(process, settingsFiles))
            .toList());
  }

  /** Returns the number of routers found. */
  int count() {
    return routers.size();
  }

  /** Returns the time used by all of them since their start, in nanoseconds. */
  long usedNanos() {
    return routers.stream()
        .mapToLong(process -> process.info().totalCpuDuration().orElse(Duration.ZERO).toNanos())
        .sum();
  }

  private static boolean servesWithOneOf(ProcessHandle process, List<String> settingsFiles) {
    List<String> arguments = List.of(process.info().arguments().orElse(new String[0]));
    return arguments.contains("serve") && settingsFiles.stream().anyMatch(arguments::contains);
  }
}
