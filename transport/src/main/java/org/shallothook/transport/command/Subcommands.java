package org.shallothook.transport.command;

import io.vavr.control.Try;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.function.Supplier;
import org.shallothook.transport.logging.LogComponent;
import org.shallothook.transport.process.HangupSignal;
import org.shallothook.transport.settings.SettingKey;
import org.shallothook.transport.settings.Settings;
import picocli.CommandLine;

/**
 * The subcommands of a binary, created on demand.
 *
 * <p>If the first argument is a known subcommand, only that one is created: processing the
 * annotations of commands takes a large part of the startup time on a fraction of a CPU core.
 *
 * <p>Not thread-safe; used only on the main thread.
 */
public final class Subcommands {
  private final Map<String, Supplier<Object>> verbs = new LinkedHashMap<>();
  private final Set<String> processes = new HashSet<>();

  /** Adds a subcommand. */
  public Subcommands add(String name, Supplier<Object> command) {
    verbs.put(name, command);
    return this;
  }

  /**
   * Adds the subcommands that run a process and check its settings.
   *
   * @param serve name of the subcommand that runs the process
   * @param check name of the subcommand that checks its settings
   * @param keys settings that the process declares
   * @param start starts the process, which exits by itself on a stop signal
   */
  public Subcommands addProcess(
      String serve, String check, List<SettingKey> keys, Function<Settings, Try<Void>> start) {
    processes.add(serve);
    return add(serve, () -> new ServeCommand(keys, start)).add(check, () -> new CheckCommand(keys));
  }

  /**
   * Runs a command and returns its exit code. For a subcommand that runs a process, SIGHUP is
   * ignored from here on, so that it does not end the process during startup either.
   */
  public int run(Object main, String... arguments) {
    if (arguments.length > 0 && processes.contains(arguments[0])) {
      HangupSignal.handle(
          () ->
              LogComponent.PROCESS.info(
                  "Ignored SIGHUP: the settings file is read only at startup."));
    }
    return commandLine(main, arguments).execute(arguments);
  }

  /**
   * Returns a command line with the subcommand of the first argument, or with all if it is unknown.
   */
  public CommandLine commandLine(Object main, String... arguments) {
    CommandLine line = new CommandLine(main);
    if (arguments.length > 0 && verbs.containsKey(arguments[0])) {
      line.addSubcommand(arguments[0], verbs.get(arguments[0]).get());
    } else {
      verbs.forEach((name, command) -> line.addSubcommand(name, command.get()));
    }
    return line;
  }
}
