package org.shallothook.transport.command;

import io.vavr.control.Either;
import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.shallothook.transport.settings.SettingKey;
import org.shallothook.transport.settings.Settings;
import org.shallothook.transport.settings.SettingsProblem;
import org.shallothook.transport.settings.SettingsReader;
import picocli.CommandLine.Option;

/**
 * The option {@code --settings FILE}, mixed into every command that needs settings.
 *
 * <p>Not thread-safe; used only on the main thread.
 */
public final class SettingsOption {
  @Option(
      names = "--settings",
      required = true,
      paramLabel = "FILE",
      description = "Settings file (INI); every setting is described in docs/OPERATORS.md.")
  private Path file;

  /**
   * Reads the file and returns its settings, or prints all problems and returns empty.
   *
   * @param keys settings that the file may contain
   * @param errors where problems are printed
   */
  public Optional<Settings> read(List<SettingKey> keys, PrintWriter errors) {
    Either<List<SettingsProblem>, Settings> result = new SettingsReader(keys).read(file);
    if (result.isLeft()) {
      result.getLeft().forEach(problem -> errors.println(problem.message()));
      errors.flush();
    }
    return result.toJavaOptional();
  }

  /** Returns the path as given on the command line. */
  public Path file() {
    return file;
  }
}
