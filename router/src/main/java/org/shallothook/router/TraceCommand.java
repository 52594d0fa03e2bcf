package org.shallothook.router;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;
import org.shallothook.transport.command.ExitCode;
import org.shallothook.transport.logging.DecisionLine;
import org.shallothook.transport.logging.RequestTrace;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/**
 * The {@code trace} command: prints the trace of one request from the logs of several processes.
 *
 * <p>Not thread-safe: used on the thread of the command line.
 */
@Command(
    name = "trace",
    mixinStandardHelpOptions = true,
    description =
        "Prints the trace of a request from decision logs. Exit code 0 if it is found, 1 if not.",
    footerHeading = "%nExample:%n",
    footer = "  shallothook-router trace 48bf1efc3e7e3739 router-1.log router-2.log sidecar-1.log")
final class TraceCommand implements Callable<Integer> {
  @Parameters(
      index = "0",
      paramLabel = "REQUEST_ID",
      description = "Id of the request; each retry by the caller has its own.")
  private String request;

  @Parameters(
      index = "1..*",
      arity = "1..*",
      paramLabel = "FILE",
      description = "Log file of a process; the file name identifies the process.")
  private List<Path> files;

  @Spec private CommandSpec specification;

  @Override
  public Integer call() {
    PrintWriter errors = specification.commandLine().getErr();
    List<DecisionLine> lines = new ArrayList<>();
    for (Path file : files) {
      try {
        read(file, lines);
      } catch (IOException e) {
        errors.println(file + ": cannot be read: " + e.getMessage() + ". Specify a readable file.");
        return ExitCode.USAGE;
      }
    }
    Optional<RequestTrace> trace = RequestTrace.find(request, lines);
    if (trace.isEmpty()) {
      errors.println(
          "No line names request "
              + request
              + ". Add the logs of all routers; each retry by a caller has its own id.");
      return ExitCode.FAILURE;
    }
    specification.commandLine().getOut().print(trace.get().text());
    specification.commandLine().getOut().flush();
    return ExitCode.SUCCESS;
  }

  /** Reads a log file and replaces malformed UTF-8, which a crashed process may leave behind. */
  private static void read(Path file, List<DecisionLine> lines) throws IOException {
    String text = new String(Files.readAllBytes(file), StandardCharsets.UTF_8);
    String process = String.valueOf(file.getFileName());
    text.lines().forEach(line -> DecisionLine.read(process, line).ifPresent(lines::add));
  }
}
