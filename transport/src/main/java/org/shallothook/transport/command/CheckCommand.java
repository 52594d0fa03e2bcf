package org.shallothook.transport.command;

import java.util.List;
import java.util.concurrent.Callable;
import org.shallothook.transport.settings.SettingKey;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/**
 * The verb {@code check}: reads a settings file and reports every mistake in it.
 *
 * <p>Not thread-safe: used on the thread of the command line.
 */
@Command(
    name = "check",
    mixinStandardHelpOptions = true,
    description = "Checks a settings file. Exit code 0 if it is right, 2 if not.")
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
    specification.commandLine().getOut().println(settings.file() + ": the settings are right.");
    return ExitCode.SUCCESS;
  }
}
