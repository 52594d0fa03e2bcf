package org.shallothook.benchmarks.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.EnumSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Callable;
import org.shallothook.benchmarks.measure.Experiment;
import org.shallothook.benchmarks.measure.HistoryCounts;
import org.shallothook.benchmarks.measure.Measure;
import org.shallothook.benchmarks.measure.MeasureSuite;
import org.shallothook.benchmarks.workload.Deployment;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/**
 * Runs every measure in virtual time, prints figure, bound, baselines and verdict of each, and
 * writes {@code measures.json} and a plot for each measure.
 *
 * <p>Not thread-safe: used on the thread of the command line.
 */
@Command(
    name = "bench",
    mixinStandardHelpOptions = true,
    description = "Measures model traffic in virtual time against its bounds.",
    footer = {
      "Examples:",
      "  bin/bench",
      "  bin/bench --compare old/measures.json",
      "  bin/bench --experiment OVERLOAD --deployment ALTAR_LINEN",
      "  bin/bench --experiment BOOKING_HISTORIES --booking-histories 50000 --threads 2",
      "Exit codes: 0 every bound is held or listed as known red, 1 another is missed, 2 usage."
    })
public final class BenchCommand implements Callable<Integer> {
  private static final int BOUND_MISSED = 1;

  @Option(names = "--output", description = "Folder of the results; default ${DEFAULT-VALUE}.")
  private Path output = Path.of("target", "bench");

  @Option(names = "--compare", description = "measures.json of another build to compare with.")
  private Optional<Path> compared = Optional.empty();

  @Option(names = "--seed", description = "Seed of every run; default ${DEFAULT-VALUE}.")
  private long seed = MeasureSuite.SEED;

  @Option(names = "--threads", description = "Runs side by side; default ${DEFAULT-VALUE}.")
  private int threads = 4;

  @Option(
      names = "--experiment",
      description = "Experiment to run, may be repeated; default all: ${COMPLETION-CANDIDATES}.")
  private Set<Experiment> experiments = EnumSet.allOf(Experiment.class);

  @Option(
      names = "--deployment",
      description =
          "Deployment to run under, may be repeated; default all: ${COMPLETION-CANDIDATES}.")
  private Set<Deployment> deployments = EnumSet.allOf(Deployment.class);

  @Option(
      names = "--booking-histories",
      paramLabel = "N",
      description = "Booking histories under each deployment; default ${DEFAULT-VALUE}.")
  private int bookingHistories = HistoryCounts.DEFAULT.bookings();

  @Option(
      names = "--configuration-histories",
      paramLabel = "N",
      description = "Configuration histories under each deployment; default ${DEFAULT-VALUE}.")
  private int configurationHistories = HistoryCounts.DEFAULT.configurations();

  @Spec private CommandSpec command;

  @Option(names = "--known-red", description = "List of known red cases; default ${DEFAULT-VALUE}.")
  private Path knownRed = Path.of("KNOWN-RED.txt");

  @Override
  public Integer call() throws IOException, InterruptedException {
    HistoryCounts histories = histories();
    List<Measure> measures = MeasureSuite.run(seed, threads, experiments, deployments, histories);
    KnownRedMeasures known = KnownRedMeasures.read(knownRed);
    measures.forEach(measure -> System.out.print(BenchTable.rowsOf(measure, known)));
    Files.createDirectories(output);
    Files.writeString(output.resolve("measures.json"), MeasuresJson.write(measures));
    BenchPlots.write(measures, output);
    if (compared.isPresent()) {
      List<MeasuresJson.Entry> old = MeasuresJson.read(Files.readString(compared.get()));
      System.out.print(BenchTable.comparison(old, measures));
    }
    long missed = measures.stream().filter(measure -> !measure.isHeld()).count();
    long unlisted =
        measures.stream().filter(measure -> !measure.isHeld() && !known.isListed(measure)).count();
    System.out.printf(
        "%d measures, %d held, %d missed, of these %d not listed in %s%n",
        measures.size(), measures.size() - missed, missed, unlisted, knownRed);
    return unlisted == 0 ? 0 : BOUND_MISSED;
  }

  private HistoryCounts histories() {
    if (bookingHistories <= 0 || configurationHistories <= 0) {
      throw new ParameterException(
          command.commandLine(),
          "Give a positive number to --booking-histories and --configuration-histories.");
    }
    return new HistoryCounts(bookingHistories, configurationHistories);
  }
}
