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
 * The verb {@code matrix}: runs the fault matrix, prints it and writes it as a page.
 *
 * <p>Not thread-safe: used on the thread of the command line.
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
      return runCell(new Strike(fault.get(), step.get(), 1));
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

  private int runCell(Strike strike) {
    SceneResult result = new Scene(List.of(strike), FaultMatrix.SEED).run();
    result.violations().forEach(specification.commandLine().getOut()::println);
    specification.commandLine().getOut().println(result.isHeld() ? "held" : "red");
    specification.commandLine().getOut().flush();
    return result.isHeld() ? 0 : 1;
  }
}
