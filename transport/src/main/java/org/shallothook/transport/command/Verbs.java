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
 * The verbs of a binary, each made when it is asked for.
 *
 * <p>Reading the annotations of a command takes a good part of a start on a share of a core, so a
 * command line that begins with a known verb holds that verb alone.
 *
 * <p>Not thread-safe: used on the thread of the command line.
 */
public final class Verbs {
  private final Map<String, Supplier<Object>> verbs = new LinkedHashMap<>();
  private final Set<String> processes = new HashSet<>();

  /** Adds a verb. */
  public Verbs add(String name, Supplier<Object> command) {
    verbs.put(name, command);
    return this;
  }

  /**
   * Adds the verbs that run a process and that check its settings.
   *
   * @param serve name of the verb that runs it
   * @param check name of the verb that checks its settings
   * @param keys settings that the process declares
   * @param start starts the process, which ends itself when it is told to stop
   */
  public Verbs addProcess(
      String serve, String check, List<SettingKey> keys, Function<Settings, Try<Void>> start) {
    processes.add(serve);
    return add(serve, () -> new ServeCommand(keys, start)).add(check, () -> new CheckCommand(keys));
  }

  /**
   * Runs a command and returns its exit code. A hang-up signal ends a process no more from here on,
   * also while it still starts.
   */
  public int run(Object main, String... arguments) {
    if (arguments.length > 0 && processes.contains(arguments[0])) {
      HangupSignal.handle(
          () -> LogComponent.PROCESS.info("Hang-up ignored: settings are read at starts."));
    }
    return commandLine(main, arguments).execute(arguments);
  }

  /** Returns a command line with the verb that the arguments begin with, else with every verb. */
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
