package org.shallothook.transport.command;

import java.util.List;
import java.util.concurrent.Callable;
import org.shallothook.transport.settings.SettingKey;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/**
 * The subcommand {@code check}: validates a settings file and prints all errors in it.
 *
 * <p>Not thread-safe; used only on the main thread.
 */
@Command(
    name = "check",
    mixinStandardHelpOptions = true,
    description = "Validates a settings file. The exit code is 0 if it is valid, 2 if not.")
public final class CheckCommand implements Callable<Integer> {
  private final List<SettingKey> keys;

  @Mixin private SettingsOption settings;
  @Spec private CommandSpec specification;

  /**
   * Creates the command.
   *
   * @param keys settings that the binary declares
   */
  public CheckCommand(List<SettingKey> keys) {
    this.keys = List.copyOf(keys);
  }

  @Override
  public Integer call() {
    if (settings.read(keys, specification.commandLine().getErr()).isEmpty()) {
      return ExitCode.USAGE;
    }
    specification.commandLine().getOut().println(settings.file() + ": the settings are valid.");
    return ExitCode.SUCCESS;
  }
}
