package org.shallothook.transport.command;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import picocli.CommandLine;
import picocli.CommandLine.Command;

/** A start reads the commands that it needs and no others. */
final class VerbsTest {
  @Command(name = "any")
  private static final class AnyCommand {}

  private final List<String> made = new ArrayList<>();

  private Supplier<Object> making(String name) {
    return () -> {
      made.add(name);
      return new AnyCommand();
    };
  }

  @ParameterizedTest
  @CsvSource({"serve, serve", "check, check", "--help, serve check", "unknown, serve check"})
  void onlyTheVerbAskedForIsMade(String argument, String expected) {
    Verbs verbs = new Verbs().add("serve", making("serve")).add("check", making("check"));

    CommandLine line = verbs.commandLine(new AnyCommand(), argument);

    assertThat(made).containsExactlyElementsIn(expected.split(" ")).inOrder();
    assertThat(line.getSubcommands().keySet())
        .containsExactlyElementsIn(expected.split(" "))
        .inOrder();
  }
}
