package org.shallothook.benchmarks.processes;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.Callable;
import java.util.concurrent.TimeUnit;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Prints the share of a core and the memory that running processes take, window by window.
 *
 * <p>All processes are read in the same windows, so that two builds can be compared side by side.
 *
 * <p>Not thread-safe: used on the thread of the command line.
 */
@Command(
    name = "processes",
    mixinStandardHelpOptions = true,
    description = "Processor time and memory of processes that run already.",
    footer = {
      "Example:",
      "  shallothook-benchmarks processes --process sidecar=4711 --process router=4712"
    })
public final class ProcessesCommand implements Callable<Integer> {
  @Option(
      names = "--process",
      required = true,
      paramLabel = "NAME=NUMBER",
      description = "A process to read, by its number. May be repeated.")
  private Map<String, Long> processes;

  @Option(
      names = "--seconds",
      defaultValue = "30",
      description = "Length of a window. Default: ${DEFAULT-VALUE}.")
  private int seconds;

  @Option(
      names = "--windows",
      defaultValue = "3",
      description = "Number of windows. Default: ${DEFAULT-VALUE}.")
  private int windows;

  @Option(
      names = "--age",
      defaultValue = "60",
      description = "Waits until each process is that old, in seconds. Default: ${DEFAULT-VALUE}.")
  private int ageSeconds;

  @Override
  public Integer call() throws InterruptedException {
    List<WatchedProcess> watched = new ArrayList<>();
    new TreeMap<>(processes)
        .forEach((name, number) -> watched.add(WatchedProcess.of(name, number)));
    for (WatchedProcess process : watched) {
      awaitAge(process);
    }
    for (int window = 1; window <= windows; window++) {
      measure(watched, window);
    }
    return 0;
  }

  private void awaitAge(WatchedProcess process) throws InterruptedException {
    long missing = Duration.ofSeconds(ageSeconds).minus(process.age()).toMillis();
    if (missing > 0) {
      TimeUnit.MILLISECONDS.sleep(missing);
    }
  }

  private void measure(List<WatchedProcess> watched, int window) throws InterruptedException {
    List<Duration> before = watched.stream().map(WatchedProcess::processorTime).toList();
    long start = System.nanoTime();
    TimeUnit.SECONDS.sleep(seconds);
    for (int index = 0; index < watched.size(); index++) {
      WatchedProcess process = watched.get(index);
      Duration used = process.processorTime().minus(before.get(index));
      double share = 100.0 * used.toNanos() / (System.nanoTime() - start);
      System.out.println(
          String.format(
              Locale.ROOT,
              "window %d: %s %.2f%% of a core, %d kB resident",
              window,
              process.name(),
              share,
              process.residentKilobytes()));
    }
  }
}
