package org.shallothook.soak;

import java.nio.file.Path;
import java.util.concurrent.Callable;
import org.tinylog.Logger;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/**
 * Command line of the soak.
 *
 * <p>Not thread-safe.
 */
@Command(
    name = "soak",
    mixinStandardHelpOptions = true,
    description = {
      "Runs routers and sidecars on loopback, disturbs them, and checks what callers and servers see.",
      "Exit code 0: every promise held in every run; 1: one was broken."
    },
    footer = {"Example: bin/soak --seed 7 --runs 5 --seconds 60"})
public final class SoakMain implements Callable<Integer> {
  @Option(names = "--seed", description = "Seed of the first run (${DEFAULT-VALUE}).")
  private long seed = 1;

  @Option(names = "--runs", description = "Runs, each with the next seed (${DEFAULT-VALUE}).")
  private int runs = 1;

  @Option(names = "--seconds", description = "Time of disturbances in a run (${DEFAULT-VALUE}).")
  private int seconds = 30;

  @Option(names = "--calm", description = "Disturbs nothing, for measuring.")
  private boolean isCalm;

  @Option(names = "--routers", description = "Routers (${DEFAULT-VALUE}).")
  private int routers = 3;

  @Option(
      names = "--models",
      description = "Model servers, each with a sidecar (${DEFAULT-VALUE}).")
  private int models = 3;

  @Option(names = "--bookings", description = "Plain servers (${DEFAULT-VALUE}).")
  private int bookings = 2;

  @Option(names = "--callers", description = "Callers (${DEFAULT-VALUE}).")
  private int callers = 12;

  @Option(
      names = "--folder",
      description = "Where settings and logs of the processes go (${DEFAULT-VALUE}).")
  private Path folder = Path.of("target", "soak");

  /** Runs the command line. */
  public static void main(String[] arguments) {
    System.exit(new CommandLine(new SoakMain()).execute(arguments));
  }

  @Override
  public Integer call() throws Exception {
    int broken = 0;
    for (long next = seed; next < seed + runs; next++) {
      SoakOptions options =
          new SoakOptions(
              next,
              seconds,
              isCalm,
              routers,
              models,
              bookings,
              callers,
              folder.resolve("seed-" + next));
      SoakRun.Report report = new SoakRun(options).run();
      Logger.info("seed {}: {} after {}", next, report.outcomes(), report.disturbances());
      report.violations().forEach(violation -> Logger.error("violated: {}", violation));
      broken += report.violations().isEmpty() ? 0 : 1;
    }
    Logger.info("{} of {} runs broke a promise", broken, runs);
    return broken == 0 ? 0 : 1;
  }
}
