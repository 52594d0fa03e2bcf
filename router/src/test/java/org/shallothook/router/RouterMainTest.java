package org.shallothook.router;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
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
  void checkReportsTheInvalidSettingAndExitsWithTwo(String text, String expected)
      throws IOException {
    Path file = Files.writeString(folder.resolve("router.ini"), text.replace("|", "\n"));
    StringWriter errors = new StringWriter();
    CommandLine commandLine = RouterMain.commandLine().setErr(new PrintWriter(errors));

    int exitCode = commandLine.execute("check", "--settings", file.toString());

    assertThat(exitCode).isEqualTo(2);
    assertThat(errors.toString()).contains(expected);
    assertThat(errors.toString()).contains("router.ini: ");
  }

  @ParameterizedTest
  @CsvSource({
    "one, 0, 'Refused as no-upstream', ''",
    "two, 1, '', 'No line names request two'",
  })
  void tracePrintsTheTraceOfARequest(
      String request, int expectedCode, String expectedOutput, String expectedError)
      throws IOException {
    Path file =
        Files.writeString(
            folder.resolve("router-1.log"),
            "Listening for callers\n"
                + "{\"time\":\"2026-08-20T10:04:43Z\",\"decision\":\"refuse\",\"id\":\"one\","
                + "\"reason\":\"no-upstream\",\"outcome\":\"not-run\"}\n");
    StringWriter output = new StringWriter();
    StringWriter errors = new StringWriter();
    CommandLine commandLine =
        RouterMain.commandLine().setOut(new PrintWriter(output)).setErr(new PrintWriter(errors));

    assertThat(commandLine.execute("trace", request, file.toString())).isEqualTo(expectedCode);
    assertThat(output.toString()).contains(expectedOutput);
    assertThat(errors.toString()).contains(expectedError);
  }

  @Test
  void traceReportsAnUnreadableFile() {
    StringWriter errors = new StringWriter();
    CommandLine commandLine = RouterMain.commandLine().setErr(new PrintWriter(errors));
    String missing = folder.resolve("missing.log").toString();
    assertThat(commandLine.execute("trace", "one", missing)).isEqualTo(2);
    assertThat(errors.toString()).contains("missing.log: cannot be read");
  }
}
