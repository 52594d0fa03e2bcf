package org.shallothook.standins.settings;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class SettingsFileTest {
  @TempDir private Path folder;

  private List<SettingsSection> read(String text) throws IOException {
    return SettingsFile.read(Files.writeString(folder.resolve("standins.ini"), text));
  }

  @Test
  void commasColonsAndDollarSignsInValuesAreKept() throws IOException {
    SettingsSection section =
        read("[instance:engine-1]\nlisten = 127.0.0.1:9101\nmodels = a:v1, b:v${x}\n").get(0);
    assertThat(section.name()).isEqualTo("instance:engine-1");
    assertThat(section.requiredText("models")).isEqualTo("a:v1, b:v${x}");
    assertThat(section.address("listen").orElseThrow().getPort()).isEqualTo(9101);
  }

  @ParameterizedTest
  @CsvSource({"unknwon = 1,unknwon", "cache_blocks = many,cache_blocks", "listen = here,listen"})
  void errorsNameFileSectionAndKey(String line, String key) throws IOException {
    SettingsSection section = read("[engine-1]\n" + line + "\n").get(0);
    SettingsException problem =
        assertThrows(
            SettingsException.class,
            () -> {
              section.nonNegativeInt("cache_blocks", 1);
              section.address("listen");
              section.requireNoOtherKeys();
            });
    assertThat(problem).hasMessageThat().contains("standins.ini: section [engine-1], key '" + key);
  }
}
