package org.shallothook.router;

import java.io.IOException;
import org.shallothook.transport.command.ExitCode;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/**
 * Verbs that print one page of the admin port.
 *
 * <p>Not thread-safe: used on the thread of the command line.
 */
final class PageCommand {
  private PageCommand() {}

  /** Prints the router's state as JSON. */
  @Command(
      name = "status",
      mixinStandardHelpOptions = true,
      description = "Prints the router's state and what it knows of its upstreams, as JSON.")
  static final class Status extends OperatorCommand {
    @Override
    int run(AdminClient client) throws IOException, InterruptedException {
      output().println(client.get("/status"));
      return ExitCode.SUCCESS;
    }
  }

  /** Prints the configuration's history as JSON. */
  @Command(
      name = "history",
      mixinStandardHelpOptions = true,
      description = "Prints every configuration record kept, with its verdict, as JSON.")
  static final class History extends OperatorCommand {
    @Override
    int run(AdminClient client) throws IOException, InterruptedException {
      output().println(client.get("/history"));
      return ExitCode.SUCCESS;
    }
  }

  /** Prints a template in force. */
  @Command(
      name = "show",
      mixinStandardHelpOptions = true,
      description = "Prints the template of a team as it is in force.")
  static final class Show extends OperatorCommand {
    @Parameters(paramLabel = "TEAM", description = "Name of the team.")
    private String team;

    @Override
    int run(AdminClient client) throws IOException, InterruptedException {
      output().print(client.get("/templates/" + team));
      output().flush();
      return ExitCode.SUCCESS;
    }
  }

  /** Prints why a request was decided as it was. */
  @Command(
      name = "explain",
      mixinStandardHelpOptions = true,
      description = "Prints why a request was decided as it was, as JSON.")
  static final class Explain extends OperatorCommand {
    @Parameters(
        paramLabel = "REQUEST_ID",
        description = "Value of the answer's header shallothook-request-id.")
    private String request;

    @Override
    int run(AdminClient client) throws IOException, InterruptedException {
      output().println(client.get("/explain/" + request));
      return ExitCode.SUCCESS;
    }
  }
}
