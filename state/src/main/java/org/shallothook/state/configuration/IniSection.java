package org.shallothook.state.configuration;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * Typed access to the keys of an INI section, with errors that state the section and key.
 *
 * <p>Invariant: after {@link #requireAllRead} every key in the section has been read. Not
 * thread-safe.
 */
final class IniSection {
  private static final Pattern NAME_PATTERN = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,99}");

  private final String name;
  private final Map<String, List<String>> values;
  private final Set<String> readKeys = new LinkedHashSet<>();

  IniSection(IniDocument document, String name) {
    this.name = name;
    this.values = document.section(name);
  }

  /** Thrown within the parsers of this package, which return its error as a value. */
  static final class InvalidIniException extends RuntimeException {
    private static final long serialVersionUID = 1L;
    private final transient ConfigurationError error;

    InvalidIniException(ConfigurationError error) {
      super(error.message());
      this.error = error;
    }

    ConfigurationError error() {
      return error;
    }
  }

  /** Returns the value of a key; empty if the key is absent. */
  Optional<String> optional(String key) {
    readKeys.add(key);
    List<String> found = values.getOrDefault(key, List.of());
    if (found.size() > 1) {
      throw invalid(
          ConfigurationError.Kind.REPEATED_KEY, key, found.get(1), "The key is repeated.");
    }
    return found.stream().findFirst();
  }

  /** Returns the value of a key that must be present and not blank. */
  String required(String key) {
    Optional<String> found = optional(key).filter(value -> !value.isBlank());
    return found.orElseThrow(
        () ->
            invalid(ConfigurationError.Kind.MISSING_KEY, key, "", "The key is missing or empty."));
  }

  /** Returns a name of letters, digits, dots, hyphens and underscores. */
  String name(String key) {
    return matching(key, NAME_PATTERN, "Expected at most 100 letters, digits, '.', '_' and '-'.");
  }

  /**
   * Returns the value of a required key, which must match a pattern.
   *
   * @param expected description of the expected value for the error
   */
  String matching(String key, Pattern pattern, String expected) {
    String value = required(key);
    if (!pattern.matcher(value).matches()) {
      throw invalid(ConfigurationError.Kind.INVALID_VALUE, key, value, expected);
    }
    return value;
  }

  /** Returns the values of a repeated key joined by line feeds; empty if the key is absent. */
  String text(String key) {
    readKeys.add(key);
    return String.join("\n", values.getOrDefault(key, List.of()));
  }

  /** Returns a number of at least 1, or the default value if the key is absent. */
  int positive(String key, int defaultValue) {
    return optional(key)
        .map(value -> (int) number(key, value, 1, Integer.MAX_VALUE))
        .orElse(defaultValue);
  }

  /** Returns a number of at least 0 of a key that must be present. */
  long requiredNumber(String key) {
    return number(key, required(key), 0, Long.MAX_VALUE);
  }

  /** Returns true or false, or the default value if the key is absent. */
  boolean flag(String key, boolean defaultValue) {
    Optional<String> value = optional(key);
    if (value.isEmpty()) {
      return defaultValue;
    }
    return switch (value.get()) {
      case "true" -> true;
      case "false" -> false;
      default ->
          throw invalid(
              ConfigurationError.Kind.INVALID_VALUE, key, value.get(), "Expected true or false.");
    };
  }

  /** Throws for the first key that has not been read. */
  void requireAllRead() {
    for (Map.Entry<String, List<String>> entry : values.entrySet()) {
      if (!readKeys.contains(entry.getKey())) {
        throw invalid(
            ConfigurationError.Kind.UNKNOWN_KEY,
            entry.getKey(),
            entry.getValue().get(0),
            "The section has no such key.");
      }
    }
  }

  InvalidIniException invalid(
      ConfigurationError.Kind kind, String key, String value, String detail) {
    return new InvalidIniException(new ConfigurationError(kind, name, key, value, detail));
  }

  private long number(String key, String value, long lowest, long highest) {
    try {
      long parsed = Long.parseLong(value);
      if (parsed >= lowest && parsed <= highest) {
        return parsed;
      }
    } catch (NumberFormatException e) {
      // Reported below, like a number out of range.
    }
    throw invalid(
        ConfigurationError.Kind.INVALID_VALUE,
        key,
        value,
        "Expected a whole number from " + lowest + " to " + highest + ".");
  }
}
