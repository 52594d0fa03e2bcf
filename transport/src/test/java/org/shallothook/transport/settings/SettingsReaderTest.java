package org.shallothook.transport.settings;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

final class SettingsReaderTest {
  private static final SettingKey NAME =
      SettingKey.required("instance", "name", SettingType.NAME, "name");
  private static final SettingKey PEERS =
      SettingKey.withDefault("listen", "peers", SettingType.ADDRESS, "127.0.0.1:7000", "peers");
  private static final SettingKey FORM =
      SettingKey.withDefault("logging", "form", SettingType.NAME, "text", "form")
          .oneOf(List.of("text", "json"));
  private static final SettingKey FILE =
      SettingKey.withDefault("logging", "file", SettingType.NAME, "none", "file")
          .requiredWhere(FORM, "json");

  @TempDir private Path folder;

  private Path write(String text) throws IOException {
    return Files.writeString(folder.resolve("router.ini"), text.replace("|", "\n"));
  }

  @Test
  void returnsValuesAndDefaults() throws IOException {
    Settings settings = reader().read(write("[instance]|name = router-1")).get();

    assertThat(settings.text(NAME)).isEqualTo("router-1");
    assertThat(settings.address(PEERS).getPort()).isEqualTo(7000);
    assertThat(settings.address(PEERS).isUnresolved()).isFalse();
  }

  @ParameterizedTest
  @CsvSource({
    "'[instance]|name = ', '[instance] name'",
    "'[listen]|peers = 10.0.0.1:1', '[instance] name - The setting is missing.'",
    "'[instance]|name = a|nome = b', '[instance] nome = b - The setting is unknown.'",
    "'[instance]|name = a|name = b', '[instance] name = b - The setting is duplicated.'",
    "'[instance]|name = a|[listen]|peers = host:1', '[listen] peers = host:1'",
    "'[instance]|name = a|[listen]|peers = 1.2.3.4', '[listen] peers = 1.2.3.4'",
    "'[instance]|name = a|[listen]|peers = 1.2.3.400:1', '[listen] peers = 1.2.3.400:1'",
    "'[instance]|name = a|[listen]|peers = 1.2.3.4:70000', '[listen] peers = 1.2.3.4:70000'",
    "'[instance]|name = a|[logging]|form = json', '[logging] file - The setting is missing, which form = json needs.'",
    "'[instance]|name = a|[logging]|form = xml', 'Write one of text, json.'",
    "'[instance]|name = a|[other]|key = 1', 'Remove the section'",
    "'name = a', 'The key precedes the first section.'",
  })
  void reportsLocationAndRemedy(String text, String expected) throws IOException {
    List<SettingsProblem> problems = reader().read(write(text)).getLeft();

    List<String> messages = problems.stream().map(SettingsProblem::message).toList();
    assertThat(messages.toString()).contains(expected);
    assertThat(messages.toString()).contains("router.ini: ");
  }

  @Test
  void aConditionThatIsNotMetLeavesTheDefault() throws IOException {
    Settings settings = reader().read(write("[instance]|name = a|[logging]|form = text")).get();

    assertThat(settings.text(FILE)).isEqualTo("none");
  }

  @Test
  void reportsUnreadableFile() {
    List<SettingsProblem> problems = reader().read(folder.resolve("none.ini")).getLeft();

    assertThat(problems).hasSize(1);
    assertThat(problems.get(0).remedy()).contains("--settings");
  }

  private static SettingsReader reader() {
    return new SettingsReader(List.of(NAME, PEERS, FORM, FILE));
  }
}
