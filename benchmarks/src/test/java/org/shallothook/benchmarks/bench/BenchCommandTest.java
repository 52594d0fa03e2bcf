package org.shallothook.benchmarks.bench;

import static com.google.common.truth.Truth.assertThat;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import picocli.CommandLine;

final class BenchCommandTest {
  private static final int USAGE = 2;

  @TempDir Path folder;

  @ParameterizedTest
  @CsvSource({
    "--booking-histories, 0",
    "--booking-histories, -5",
    "--booking-histories, many",
    "--configuration-histories, 0"
  })
  void aNumberOfHistoriesThatIsNotPositiveIsAMistakeOfUsage(String option, String number) {
    StringWriter errors = new StringWriter();
    CommandLine command = new CommandLine(new BenchCommand()).setErr(new PrintWriter(errors));
    assertThat(command.execute("--output", folder.toString(), option, number)).isEqualTo(USAGE);
    assertThat(errors.toString()).contains("--booking-histories");
  }

  @Test
  void asManyHistoriesRunAsAreAskedFor() throws Exception {
    int code =
        new CommandLine(new BenchCommand())
            .execute(
                "--output",
                folder.toString(),
                "--experiment",
                "BOOKING_HISTORIES",
                "--experiment",
                "CONFIGURATION_HISTORIES",
                "--deployment",
                "SPARDELNING",
                "--booking-histories",
                "3",
                "--configuration-histories",
                "2");
    assertThat(code).isEqualTo(0);
    String json = Files.readString(folder.resolve("measures.json"));
    assertThat(json).contains("\"histories\": 3.0");
    assertThat(json).contains("\"histories\": 2.0");
  }
}
