package org.shallothook.router;

import java.io.IOException;
import org.shallothook.transport.command.ExitCode;
import picocli.CommandLine.Command;
import picocli.CommandLine.Parameters;

/**
 * Commands that each print one page of the admin port.
 *
 * <p>Not thread-safe: used on the thread of the command line.
 */
final class AdminPageCommands {
  private AdminPageCommands() {}

  /** Prints the router's state as JSON. */
  @Command(
      name = "status",
      mixinStandardHelpOptions = true,
      description = "Prints the router's state and what it knows of its upstreams, as JSON.")
  static final class Status extends AdminCommand {
    @Override
    int run(AdminClient client) throws IOException, InterruptedException {
      output().println(client.get("/status"));
      return ExitCode.SUCCESS;
    }
  }

  /** Prints the configuration history as JSON. */
  @Command(
      name = "history",
      mixinStandardHelpOptions = true,
      description = "Prints every retained configuration record with its verdict, as JSON.")
  static final class History extends AdminCommand {
    @Override
    int run(AdminClient client) throws IOException, InterruptedException {
      output().println(client.get("/history"));
      return ExitCode.SUCCESS;
    }
  }

  /** Prints the template of a team that is in force. */
  @Command(
      name = "show",
      mixinStandardHelpOptions = true,
      description = "Prints the template of a team that is in force.")
  static final class Show extends AdminCommand {
    @Parameters(paramLabel = "TEAM", description = "Name of the team.")
    private String team;

    @Override
    int run(AdminClient client) throws IOException, InterruptedException {
      output().print(client.get("/templates/" + team));
      output().flush();
      return ExitCode.SUCCESS;
    }
  }

  /** Prints the decisions made for a request and their reasons. */
  @Command(
      name = "explain",
      mixinStandardHelpOptions = true,
      description = "Prints the decisions made for a request and their reasons, as JSON.")
  static final class Explain extends AdminCommand {
    @Parameters(
        paramLabel = "REQUEST_ID",
        description = "Value of the response header shallothook-request-id.")
    private String request;

    @Override
    int run(AdminClient client) throws IOException, InterruptedException {
      output().println(client.get("/explain/" + request));
      return ExitCode.SUCCESS;
    }
  }
}
