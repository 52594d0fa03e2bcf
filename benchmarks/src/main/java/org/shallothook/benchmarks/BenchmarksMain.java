package org.shallothook.benchmarks;

import org.shallothook.benchmarks.bench.BenchCommand;
import org.shallothook.benchmarks.control.ControlCommand;
import org.shallothook.benchmarks.demo.DemoCommand;
import org.shallothook.benchmarks.load.LoadCommand;
import org.shallothook.benchmarks.matrix.MatrixCommand;
import org.shallothook.benchmarks.processes.ProcessesCommand;
import org.shallothook.benchmarks.slopes.SlopesCommand;
import org.shallothook.benchmarks.sockets.SocketsCommand;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/**
 * Command line of the load tools, experiments and demonstrations.
 *
 * <p>Not thread-safe: used on the thread of the command line.
 */
@Command(
    name = "shallothook-benchmarks",
    mixinStandardHelpOptions = true,
    description = "Load tools, experiments and demonstrations of shallothook.")
public final class BenchmarksMain {
  private BenchmarksMain() {}

  /** Runs a command and ends the process with its exit code. */
  public static void main(String[] arguments) {
    System.exit(commandLine().execute(arguments));
  }

  private static CommandLine commandLine() {
    return new CommandLine(new BenchmarksMain())
        .addSubcommand(new BenchCommand())
        .addSubcommand(new DemoCommand())
        .addSubcommand(new LoadCommand())
        .addSubcommand(new MatrixCommand())
        .addSubcommand(new SocketsCommand())
        .addSubcommand(new ProcessesCommand())
        .addSubcommand(new ControlCommand())
        .addSubcommand(new SlopesCommand())
        .setCaseInsensitiveEnumValuesAllowed(true);
  }
}
