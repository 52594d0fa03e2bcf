package org.shallothook.router;

import java.io.IOException;
import java.io.PrintWriter;
import java.util.Optional;
import java.util.concurrent.Callable;
import org.shallothook.transport.command.ExitCode;
import org.shallothook.transport.command.SettingsOption;
import org.shallothook.transport.logging.LogFormat;
import org.shallothook.transport.logging.LogLevel;
import org.shallothook.transport.settings.CommonKeys;
import org.shallothook.transport.settings.Settings;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/**
 * A command that queries the admin port of the running router given by a settings file.
 *
 * <p>Not thread-safe: used on the thread of the command line.
 */
abstract class AdminCommand implements Callable<Integer> {
  @Mixin private SettingsOption file;
  @Spec private CommandSpec specification;

  /**
   * Runs the command and returns its exit code.
   *
   * @throws IOException if the router cannot be reached or does not respond with 200
   */
  abstract int run(AdminClient client) throws IOException, InterruptedException;

  @Override
  public final Integer call() throws InterruptedException {
    LogFormat.TEXT.activate(LogLevel.ERROR);
    Optional<Settings> settings = file.read(RouterSettings.KEYS, errors());
    if (settings.isEmpty()) {
      return ExitCode.USAGE;
    }
    try (AdminClient client = new AdminClient(settings.get().address(CommonKeys.LISTEN_ADMIN))) {
      return run(client);
    } catch (IOException e) {
      errors().println(e.getMessage());
      return ExitCode.FAILURE;
    }
  }

  final PrintWriter output() {
    return specification.commandLine().getOut();
  }

  final PrintWriter errors() {
    return specification.commandLine().getErr();
  }
}
