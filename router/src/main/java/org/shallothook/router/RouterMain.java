package org.shallothook.router;

import org.shallothook.transport.command.Subcommands;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/**
 * Command line of the router.
 *
 * <p>Not thread-safe: used on the thread of the command line.
 */
@Command(
    name = "shallothook-router",
    mixinStandardHelpOptions = true,
    version = "shallothook-router 0.1.0",
    description = "The router of shallothook.",
    footerHeading = "%nExamples:%n",
    footer = {
      "  shallothook-router check --settings router.ini",
      "  shallothook-router serve --settings router.ini",
      "  shallothook-router serve-hosted --settings /etc/shallothook/local.toml",
      "  shallothook-router trace 48bf1efc3e7e3739 router-1.log sidecar-1.log",
      "",
      "Exit codes: 0 done, 1 failed, 2 wrong command line or settings, 3 conflicting change."
    })
public final class RouterMain {
  private static final Subcommands VERBS =
      new Subcommands()
          .addProcess(
              "serve",
              "check",
              RouterSettings.KEYS,
              settings -> new RouterProcess(settings).start())
          .addProcess(
              "serve-hosted",
              "check-hosted",
              HostedRouterSettings.KEYS,
              settings -> new HostedRouter(settings).start())
          .add("publish", PublishCommand::new)
          .add("history", AdminPageCommands.History::new)
          .add("show", AdminPageCommands.Show::new)
          .add("status", AdminPageCommands.Status::new)
          .add("explain", AdminPageCommands.Explain::new)
          .add("trace", TraceCommand::new);

  private RouterMain() {}

  /** Runs a command and exits the process with the command's exit code. */
  public static void main(String[] arguments) {
    System.exit(VERBS.run(new RouterMain(), arguments));
  }

  static CommandLine commandLine(String... arguments) {
    return VERBS.commandLine(new RouterMain(), arguments);
  }
}
