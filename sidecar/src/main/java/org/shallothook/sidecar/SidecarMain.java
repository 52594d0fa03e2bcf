package org.shallothook.sidecar;

import org.shallothook.transport.command.CheckCommand;
import org.shallothook.transport.command.ServeCommand;
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
  private SidecarMain() {}

  /** Runs a command and ends the process with its exit code. */
  public static void main(String[] arguments) {
    System.exit(commandLine().execute(arguments));
  }

  static CommandLine commandLine() {
    return new CommandLine(new SidecarMain())
        .addSubcommand(
            new ServeCommand(
                SidecarSettings.KEYS, settings -> new SidecarProcess(settings).start()))
        .addSubcommand(new CheckCommand(SidecarSettings.KEYS))
        .addSubcommand(
            "serve-hosted",
            new ServeCommand(
                HostedSidecarSettings.KEYS, settings -> new HostedSidecar(settings).start()))
        .addSubcommand("check-hosted", new CheckCommand(HostedSidecarSettings.KEYS));
  }
}
