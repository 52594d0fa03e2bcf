package org.shallothook.transport.command;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.Callable;
import picocli.CommandLine.Command;

/** A process that stays in its startup until it can read a byte from standard input, then exits. */
@Command(name = "serve")
final class StartingProcess implements Callable<Integer> {
  static final String STARTING = "starting";
  static final int DONE = 7;

  public static void main(String[] arguments) {
    Subcommands verbs = new Subcommands().addProcess("serve", "check", List.of(), settings -> null);
    System.exit(verbs.add("serve", StartingProcess::new).run(new StartingProcess(), "serve"));
  }

  @Override
  public Integer call() throws IOException {
    System.out.println(STARTING);
    int unusedByte = System.in.read();
    return DONE;
  }
}
