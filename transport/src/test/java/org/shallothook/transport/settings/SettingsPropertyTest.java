package org.shallothook.transport.settings;

import static com.google.common.truth.Truth.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.lifecycle.AfterProperty;
import net.jqwik.api.lifecycle.BeforeProperty;

/** Reading a settings file never throws; every error is reported as a problem. */
final class SettingsPropertyTest {
  private static final String VALID_FILE =
      "[instance]\nname = router-1\n[listen]\npeers = 127.0.0.1:7000\n[logging]\nform = text\n";
  private static final SettingsReader READER =
      new SettingsReader(
          List.of(
              SettingKey.required("instance", "name", SettingType.NAME, "name"),
              SettingKey.withDefault(
                  "listen", "peers", SettingType.ADDRESS, "127.0.0.1:7000", "peers"),
              SettingKey.withDefault("logging", "form", SettingType.NAME, "text", "form")
                  .oneOf(List.of("text", "json"))));

  private Path file;

  @BeforeProperty
  void createFile() throws IOException {
    file = Files.createTempFile("settings", ".ini");
  }

  @AfterProperty
  void deleteFile() throws IOException {
    Files.delete(file);
  }

  @Property(seed = "97", tries = 1_000)
  void noBytesMakeReadingThrow(@ForAll byte[] bytes) throws IOException {
    Files.write(file, bytes);

    assertThat(READER.read(file).isLeft()).isTrue();
  }

  @Property(seed = "98", tries = 2_000)
  void noChangedByteMakesReadingThrow(@ForAll int index, @ForAll byte value) throws IOException {
    byte[] bytes = VALID_FILE.getBytes(StandardCharsets.UTF_8);
    bytes[Math.floorMod(index, bytes.length)] = value;
    Files.write(file, bytes);

    assertThat(READER.read(file)).isNotNull();
  }
}
