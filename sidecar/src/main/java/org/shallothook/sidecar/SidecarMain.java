package org.shallothook.sidecar;

import org.shallothook.transport.command.CheckCommand;
import org.shallothook.transport.command.ServeCommand;
import org.shallothook.transport.command.Verbs;
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
  private static final Verbs VERBS =
      new Verbs()
          .add(
              "serve",
              () ->
                  new ServeCommand(
                      SidecarSettings.KEYS, settings -> new SidecarProcess(settings).start()))
          .add("check", () -> new CheckCommand(SidecarSettings.KEYS))
          .add(
              "serve-hosted",
              () ->
                  new ServeCommand(
                      HostedSidecarSettings.KEYS, settings -> new HostedSidecar(settings).start()))
          .add("check-hosted", () -> new CheckCommand(HostedSidecarSettings.KEYS));

  private SidecarMain() {}

  /** Runs a command and ends the process with its exit code. */
  public static void main(String[] arguments) {
    System.exit(VERBS.commandLine(new SidecarMain(), arguments).execute(arguments));
  }

  static CommandLine commandLine() {
    return VERBS.commandLine(new SidecarMain());
  }
}
