package org.shallothook.soak;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import org.tinylog.Logger;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Command line of the soak test.
 *
 * <p>Not thread-safe.
 */
@Command(
    name = "soak",
    mixinStandardHelpOptions = true,
    description = {
      "Runs routers and sidecars on loopback, injects faults, and checks that guarantees hold.",
      "Exit code 0: every guarantee held in every run; 1: at least one was violated."
    },
    footer = {"Example: bin/soak --seed 7 --runs 5 --seconds 60"})
public final class SoakMain implements Callable<Integer> {
  @Option(names = "--seed", description = "Seed of the first run (${DEFAULT-VALUE}).")
  private long seed = 1;

  @Option(
      names = "--runs",
      description = "Number of runs, with consecutive seeds (${DEFAULT-VALUE}).")
  private int runs = 1;

  @Option(
      names = "--seconds",
      description = "Duration of the disturbances in a run, in seconds (${DEFAULT-VALUE}).")
  private int seconds = 30;

  @Option(
      names = "--disturbances",
      description = "What the runs are disturbed by: ${COMPLETION-CANDIDATES} (${DEFAULT-VALUE}).")
  private DisturbanceSet disturbances = DisturbanceSet.ALL;

  @Option(names = "--routers", description = "Number of routers (${DEFAULT-VALUE}).")
  private int routers = 3;

  @Option(
      names = "--models",
      description = "Number of model servers, each with a sidecar (${DEFAULT-VALUE}).")
  private int models = 3;

  @Option(names = "--bookings", description = "Number of plain servers (${DEFAULT-VALUE}).")
  private int bookings = 2;

  @Option(names = "--callers", description = "Number of concurrent callers (${DEFAULT-VALUE}).")
  private int callers = 12;

  @Option(
      names = "--folder",
      description = "Folder for the settings and logs of the processes (${DEFAULT-VALUE}).")
  private Path folder = Path.of("target", "soak");

  /** Runs the command line. */
  public static void main(String[] arguments) {
    System.exit(new CommandLine(new SoakMain()).execute(arguments));
  }

  @Override
  public Integer call() throws Exception {
    int failedRuns = 0;
    for (long next = seed; next < seed + runs; next++) {
      SoakOptions options =
          new SoakOptions(
              next,
              seconds,
              disturbances,
              routers,
              models,
              bookings,
              callers,
              folder.resolve("seed-" + next));
      SoakRun.Report report = new SoakRun(options).run();
      Logger.info("seed {}: {} after {}", next, report.outcomes(), report.disturbances());
      report.violations().forEach(violation -> Logger.error("violated: {}", violation));
      failedRuns += report.violations().isEmpty() ? 0 : 1;
    }
    Logger.info("{} of {} runs violated a guarantee", failedRuns, runs);
    return failedRuns == 0 ? 0 : 1;
  }
}
