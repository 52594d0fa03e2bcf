package org.shallothook.transport.command;

import io.vavr.control.Try;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.function.Function;
import org.shallothook.transport.logging.LogFormat;
import org.shallothook.transport.logging.LogLevel;
import org.shallothook.transport.settings.CommonKeys;
import org.shallothook.transport.settings.SettingKey;
import org.shallothook.transport.settings.Settings;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Spec;

/**
 * The subcommand {@code serve}: runs a process until it receives a stop signal.
 *
 * <p>Not thread-safe; used only on the main thread.
 */
@Command(
    name = "serve",
    mixinStandardHelpOptions = true,
    description = "Serves until SIGTERM; then finishes running requests and exits with code 0.")
public final class ServeCommand implements Callable<Integer> {
  private final List<SettingKey> keys;
  private final Function<Settings, Try<Void>> start;

  @Mixin private SettingsOption file;
  @Spec private CommandSpec specification;

  /**
   * Creates the command.
   *
   * @param keys settings that the binary declares
   * @param start starts the process, which exits by itself on a stop signal
   */
  public ServeCommand(List<SettingKey> keys, Function<Settings, Try<Void>> start) {
    this.keys = List.copyOf(keys);
    this.start = start;
  }

  @Override
  public Integer call() throws InterruptedException {
    Optional<Settings> settings = file.read(keys, specification.commandLine().getErr());
    if (settings.isEmpty()) {
      return ExitCode.USAGE;
    }
    activateLogs(settings.get());
    Try<Void> started = start.apply(settings.get());
    if (started.isFailure()) {
      specification
          .commandLine()
          .getErr()
          .println(
              started.getCause().getMessage()
                  + ". Free the address, or change it in section [listen].");
      return ExitCode.FAILURE;
    }
    new CountDownLatch(1).await();
    return ExitCode.SUCCESS;
  }

  private static void activateLogs(Settings settings) {
    LogFormat form = LogFormat.valueOf(settings.text(CommonKeys.LOG_FORM).toUpperCase(Locale.ROOT));
    LogLevel level = LogLevel.valueOf(settings.text(CommonKeys.LOG_LEVEL).toUpperCase(Locale.ROOT));
    form.activate(level);
  }
}
