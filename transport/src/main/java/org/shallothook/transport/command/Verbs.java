package org.shallothook.transport.command;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Supplier;
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

  /** Adds a verb. */
  public Verbs add(String name, Supplier<Object> command) {
    verbs.put(name, command);
    return this;
  }

  /** Returns a command line with every verb. */
  public CommandLine commandLine(Object main) {
    CommandLine line = new CommandLine(main);
    verbs.forEach((name, command) -> line.addSubcommand(name, command.get()));
    return line;
  }

  /** Returns a command line with the verb that the arguments begin with, else with every verb. */
  public CommandLine commandLine(Object main, String... arguments) {
    Supplier<Object> asked = arguments.length == 0 ? null : verbs.get(arguments[0]);
    return asked == null
        ? commandLine(main)
        : new CommandLine(main).addSubcommand(arguments[0], asked.get());
  }
}
