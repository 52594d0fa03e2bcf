package org.shallothook.transport.command;

import static com.google.common.truth.Truth.assertThat;

import java.io.BufferedReader;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** Only the requested subcommand is created, and SIGHUP does not end a process during startup. */
final class SubcommandsTest {
  @Command(name = "any")
  private static final class AnyCommand {}

  private final List<String> created = new ArrayList<>();

  private Supplier<Object> recordingSupplier(String name) {
    return () -> {
      created.add(name);
      return new AnyCommand();
    };
  }

  @ParameterizedTest
  @CsvSource({"serve, serve", "check, check", "--help, serve check", "unknown, serve check"})
  void onlyTheRequestedSubcommandIsCreated(String argument, String expected) {
    Subcommands verbs =
        new Subcommands()
            .add("serve", recordingSupplier("serve"))
            .add("check", recordingSupplier("check"));

    CommandLine line = verbs.commandLine(new AnyCommand(), argument);

    assertThat(created).containsExactlyElementsIn(expected.split(" ")).inOrder();
    assertThat(line.getSubcommands().keySet())
        .containsExactlyElementsIn(expected.split(" "))
        .inOrder();
  }

  /** Guards against a process that exits on a SIGHUP for changed settings while it is starting. */
  @Test
  void aHangupDoesNotEndAProcessThatStarts() throws Exception {
    String classPath =
        System.getProperty("surefire.test.class.path", System.getProperty("java.class.path"));
    String java = ProcessHandle.current().info().command().orElse("java");
    Process process =
        new ProcessBuilder(java, "-cp", classPath, StartingProcess.class.getName())
            .redirectError(ProcessBuilder.Redirect.DISCARD)
            .start();
    try (BufferedReader output = process.inputReader(StandardCharsets.UTF_8)) {
      String line = output.readLine();
      while (line != null && !line.equals(StartingProcess.STARTING)) {
        line = output.readLine();
      }
      assertThat(line).isEqualTo(StartingProcess.STARTING);

      String pid = Long.toString(process.pid());
      assertThat(new ProcessBuilder("kill", "-HUP", pid).start().waitFor()).isEqualTo(0);
      process.outputWriter(StandardCharsets.UTF_8).append('\n').close();

      assertThat(process.waitFor()).isEqualTo(StartingProcess.DONE);
    } finally {
      process.destroyForcibly();
    }
  }
}
