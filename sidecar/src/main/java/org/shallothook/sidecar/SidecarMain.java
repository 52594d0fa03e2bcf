package org.shallothook.sidecar;

import org.shallothook.transport.command.Subcommands;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/**
 * Command line of the sidecar.
 *
 * <p>Not thread-safe: used on the thread of the command line.
 */
@Command(
    name = "shallothook-sidecar",
    mixinStandardHelpOptions = true,
    version = "shallothook-sidecar 0.1.0",
    description = "The sidecar of shallothook.",
    footerHeading = "%nExamples:%n",
    footer = {
      "  shallothook-sidecar check --settings sidecar.ini",
      "  shallothook-sidecar serve --settings sidecar.ini",
      "  shallothook-sidecar serve-hosted --settings /etc/shallothook/local.toml",
      "",
      "Exit codes: 0 done, 1 failed, 2 wrong command line or settings."
    })
public final class SidecarMain {
  private static final Subcommands VERBS =
      new Subcommands()
          .addProcess(
              "serve",
              "check",
              SidecarSettings.KEYS,
              settings -> new SidecarProcess(settings).start())
          .addProcess(
              "serve-hosted",
              "check-hosted",
              HostedSidecarSettings.KEYS,
              settings -> new HostedSidecar(settings).start());

  private SidecarMain() {}

  /** Runs a command and exits the process with the command's exit code. */
  public static void main(String[] arguments) {
    System.exit(VERBS.run(new SidecarMain(), arguments));
  }

  static CommandLine commandLine(String... arguments) {
    return VERBS.commandLine(new SidecarMain(), arguments);
  }
}
