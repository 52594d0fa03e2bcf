package org.shallothook.router;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import picocli.CommandLine;

final class RouterMainTest {
  @TempDir private Path folder;

  @ParameterizedTest
  @CsvSource({
    "'[instance]|nome = one', '[instance] nome = one'",
    "'[listen]|peers = host:1', '[listen] peers = host:1'",
    "'[decisions]|ring-size = 1000', 'Write a power of two'",
    "'[logging]|form = xml', 'Write one of text, json.'",
  })
  void checkNamesTheMistakeAndExitsWithTwo(String text, String expected) throws IOException {
    Path file = Files.writeString(folder.resolve("router.ini"), text.replace("|", "\n"));
    StringWriter errors = new StringWriter();
    CommandLine commandLine = RouterMain.commandLine().setErr(new PrintWriter(errors));

    int exitCode = commandLine.execute("check", "--settings", file.toString());

    assertThat(exitCode).isEqualTo(2);
    assertThat(errors.toString()).contains(expected);
    assertThat(errors.toString()).contains("router.ini: ");
  }
}
