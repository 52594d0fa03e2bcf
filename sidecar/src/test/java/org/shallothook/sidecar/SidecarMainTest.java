package org.shallothook.sidecar;

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

final class SidecarMainTest {
  @TempDir private Path folder;

  @ParameterizedTest
  @CsvSource({
    "'[instance]|nome = one', '[instance] nome = one'",
    "'[listen]|peers = host:1', '[listen] peers = host:1'",
    "'[decisions]|ring-size = 1000', 'Write a power of two'",
    "'[decisions]|ring-size = 4', 'Write a power of two from 8 on'",
    "'[logging]|form = xml', 'Write one of text, json.'",
    "'[upstream]|role = service', '[upstream] service - The setting is missing'",
    "'[upstream]|checks-fencing = true', '[upstream] checks-fencing = true - The setting is unknown.'",
  })
  void checkReportsTheInvalidSettingAndExitsWithTwo(String text, String expected)
      throws IOException {
    Path file = Files.writeString(folder.resolve("sidecar.ini"), text.replace("|", "\n"));
    StringWriter errors = new StringWriter();
    CommandLine commandLine = SidecarMain.commandLine().setErr(new PrintWriter(errors));

    int exitCode = commandLine.execute("check", "--settings", file.toString());

    assertThat(exitCode).isEqualTo(2);
    assertThat(errors.toString()).contains(expected);
    assertThat(errors.toString()).contains("sidecar.ini: ");
  }
}
