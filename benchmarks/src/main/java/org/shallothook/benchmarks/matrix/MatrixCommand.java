package org.shallothook.benchmarks.matrix;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/**
 * The {@code matrix} subcommand: runs the fault matrix, prints the result table and writes it to a
 * Markdown page. Exits with 1 if a cell fails that the list of known failures does not name. With
 * {@code --fault} and {@code --step}, runs that cell alone and writes no page.
 *
 * <p>Not thread-safe: used only by the thread that runs the command line.
 */
@Command(
    name = "matrix",
    mixinStandardHelpOptions = true,
    description = "Runs every fault at every step, once, twice and in pairs.")
public final class MatrixCommand implements Callable<Integer> {
  @Option(names = "--page", description = "File for the table.", defaultValue = "docs/FAULTS.md")
  private Path page;

  @Option(
      names = "--known-red",
      description = "List of known red cases.",
      defaultValue = "KNOWN-RED.txt")
  private Path knownRed;

  @Option(names = "--fault", description = "Runs one cell: its fault, such as ENGINE_CRASH.")
  private Optional<Fault> fault = Optional.empty();

  @Option(names = "--step", description = "Runs one cell: its step, such as MID_STREAM.")
  private Optional<Step> step = Optional.empty();

  @Spec private CommandSpec specification;

  @Override
  public Integer call() throws IOException {
    if (fault.isPresent() && step.isPresent()) {
      return runCell(new FaultInjection(fault.get(), step.get(), 1));
    }
    MatrixTable table = MatrixTable.run();
    String text = table.markdown();
    Files.writeString(page, text);
    specification.commandLine().getOut().print(text);
    specification.commandLine().getOut().flush();
    List<String> known = Files.exists(knownRed) ? Files.readAllLines(knownRed) : List.of();
    return table.redCells().stream()
            .allMatch(cell -> known.stream().anyMatch(line -> line.contains(cell)))
        ? 0
        : 1;
  }

  private int runCell(FaultInjection injection) {
    ScenarioResult result = new Scenario(List.of(injection), FaultMatrix.SEED).run();
    result.violations().forEach(specification.commandLine().getOut()::println);
    specification.commandLine().getOut().println(result.isHeld() ? "held" : "red");
    specification.commandLine().getOut().flush();
    return result.isHeld() ? 0 : 1;
  }
}
