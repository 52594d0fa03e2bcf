package org.shallothook.transport.settings;

import io.vavr.control.Either;
import io.vavr.control.Try;
import java.io.Reader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.tree.ImmutableNode;

/**
 * Reads settings files and validates them against the settings that a binary declares.
 *
 * <pre>{@code
 * Either<List<SettingsProblem>, Settings> settings =
 *     new SettingsReader(RouterSettings.KEYS).read(Path.of("router.ini"));
 * }</pre>
 *
 * <p>Invariant: all problems of a file are reported together, and a file with a problem yields no
 * settings. Immutable and thread-safe.
 */
public final class SettingsReader {
  private final List<SettingKey> declared;

  /**
   * Creates a reader.
   *
   * @param declared all settings that a file may contain
   */
  public SettingsReader(List<SettingKey> declared) {
    this.declared = List.copyOf(declared);
  }

  /** Reads a file and returns its settings, or all problems found in it. */
  public Either<List<SettingsProblem>, Settings> read(Path file) {
    return Try.withResources(() -> Files.newBufferedReader(file))
        .of(SettingsReader::parse)
        .fold(
            failure -> Either.left(List.of(unreadable(file, failure))),
            root -> check(file.toString(), root));
  }

  private static ImmutableNode parse(Reader reader) throws Exception {
    INIConfiguration configuration = new INIConfiguration();
    configuration.read(reader);
    return Objects.requireNonNull(configuration.getNodeModel().getNodeHandler().getRootNode());
  }

  private static SettingsProblem unreadable(Path file, Throwable failure) {
    return new SettingsProblem(
        file.toString(),
        "",
        "",
        "",
        "The file cannot be read (" + failure + ").",
        "Name a readable INI file with --settings.");
  }

  private Either<List<SettingsProblem>, Settings> check(String file, ImmutableNode root) {
    List<SettingsProblem> problems = new ArrayList<>();
    Map<String, Map<String, String>> texts = collect(file, root, problems);
    Map<SettingKey, Object> values = new HashMap<>();
    for (SettingKey key : declared) {
      Optional<String> written =
          Optional.ofNullable(texts.getOrDefault(key.section(), Map.of()).get(key.key()));
      Optional<String> text = key.isRequiredBy(texts) ? written : written.or(key::defaultText);
      if (text.isEmpty()) {
        problems.add(problem(file, key, "", missingProblem(key), key.type().remedy()));
        continue;
      }
      checkValue(file, key, text.get(), problems).ifPresent(value -> values.put(key, value));
    }
    return problems.isEmpty() ? Either.right(new Settings(values)) : Either.left(problems);
  }

  private static String missingProblem(SettingKey key) {
    return key.condition()
        .map(
            required ->
                "The setting is missing, which "
                    + required.key()
                    + " = "
                    + required.value()
                    + " needs.")
        .orElse("The setting is missing.");
  }

  private static Optional<Object> checkValue(
      String file, SettingKey key, String text, List<SettingsProblem> problems) {
    if (!key.choices().isEmpty() && !key.choices().contains(text)) {
      String remedy = "Write one of " + String.join(", ", key.choices()) + ".";
      problems.add(problem(file, key, text, "The value is not allowed.", remedy));
      return Optional.empty();
    }
    Try<Object> value = key.type().read(text);
    if (value.isFailure()) {
      problems.add(problem(file, key, text, "The value is not allowed.", key.type().remedy()));
    }
    return value.toJavaOptional();
  }

  private Map<String, Map<String, String>> collect(
      String file, ImmutableNode root, List<SettingsProblem> problems) {
    Map<String, Map<String, String>> texts = new HashMap<>();
    for (ImmutableNode section : root.getChildren()) {
      if (section.getValue() != null) {
        problems.add(
            new SettingsProblem(
                file,
                "",
                section.getNodeName(),
                section.getValue().toString(),
                "The key precedes the first section.",
                "Move it below a section such as [instance]."));
        continue;
      }
      Map<String, String> keys =
          texts.computeIfAbsent(section.getNodeName(), name -> new HashMap<>());
      for (ImmutableNode key : section.getChildren()) {
        collectKey(file, section.getNodeName(), key, keys, problems);
      }
    }
    return texts;
  }

  private void collectKey(
      String file,
      String section,
      ImmutableNode node,
      Map<String, String> keys,
      List<SettingsProblem> problems) {
    String key = node.getNodeName();
    String text = String.valueOf(node.getValue());
    if (!declaredKeys(section).contains(key)) {
      problems.add(
          new SettingsProblem(
              file, section, key, text, "The setting is unknown.", unknownRemedy(section)));
    } else if (keys.put(key, text) != null) {
      problems.add(
          new SettingsProblem(
              file, section, key, text, "The setting is duplicated.", "Keep one of the lines."));
    }
  }

  private String unknownRemedy(String section) {
    Set<String> known = declaredKeys(section);
    return known.isEmpty()
        ? "Remove the section; known sections are " + sections() + "."
        : "Remove it; known keys here are " + known.stream().sorted().toList() + ".";
  }

  private Set<String> declaredKeys(String section) {
    Set<String> keys = new HashSet<>();
    for (SettingKey key : declared) {
      if (key.section().equals(section)) {
        keys.add(key.key());
      }
    }
    return keys;
  }

  private List<String> sections() {
    return declared.stream().map(SettingKey::section).distinct().toList();
  }

  private static SettingsProblem problem(
      String file, SettingKey key, String found, String problem, String remedy) {
    return new SettingsProblem(file, key.section(), key.key(), found, problem, remedy);
  }
}
