package org.shallothook.state.configuration;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;

/**
 * Typed access to the keys of one section, which fails with the place of the fault.
 *
 * <p>Invariant: after {@link #requireAllRead} every key was asked for. Not thread-safe.
 */
final class IniSection {
  private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,99}");

  private final String name;
  private final Map<String, List<String>> values;
  private final Set<String> read = new LinkedHashSet<>();

  IniSection(IniDocument document, String name) {
    this.name = name;
    this.values = document.section(name);
  }

  /** Raised within the parsers of this package and turned into an error value by them. */
  static final class Fault extends RuntimeException {
    private static final long serialVersionUID = 1L;
    private final transient ConfigurationError error;

    Fault(ConfigurationError error) {
      super(error.message());
      this.error = error;
    }

    ConfigurationError error() {
      return error;
    }
  }

  Optional<String> optional(String key) {
    read.add(key);
    List<String> found = values.getOrDefault(key, List.of());
    if (found.size() > 1) {
      throw fault(ConfigurationError.Kind.REPEATED_KEY, key, found.get(1), "The key is repeated.");
    }
    return found.stream().findFirst();
  }

  String required(String key) {
    Optional<String> found = optional(key).filter(value -> !value.isBlank());
    return found.orElseThrow(
        () -> fault(ConfigurationError.Kind.MISSING_KEY, key, "", "The key is missing or empty."));
  }

  /** Returns a name of letters, digits, dots, hyphens and underscores. */
  String name(String key) {
    return matching(key, NAME, "Expected at most 100 letters, digits, '.', '_' and '-'.");
  }

  String matching(String key, Pattern pattern, String expected) {
    String value = required(key);
    if (!pattern.matcher(value).matches()) {
      throw fault(ConfigurationError.Kind.INVALID_VALUE, key, value, expected);
    }
    return value;
  }

  /** Returns the lines of a repeated key joined by line feeds; empty where it is absent. */
  String text(String key) {
    read.add(key);
    return String.join("\n", values.getOrDefault(key, List.of()));
  }

  int positive(String key, int fallback) {
    return optional(key)
        .map(value -> (int) number(key, value, 1, Integer.MAX_VALUE))
        .orElse(fallback);
  }

  long requiredNumber(String key) {
    return number(key, required(key), 0, Long.MAX_VALUE);
  }

  boolean flag(String key, boolean fallback) {
    Optional<String> value = optional(key);
    if (value.isEmpty()) {
      return fallback;
    }
    return switch (value.get()) {
      case "true" -> true;
      case "false" -> false;
      default ->
          throw fault(
              ConfigurationError.Kind.INVALID_VALUE, key, value.get(), "Expected true or false.");
    };
  }

  void requireAllRead() {
    for (Map.Entry<String, List<String>> entry : values.entrySet()) {
      if (!read.contains(entry.getKey())) {
        throw fault(
            ConfigurationError.Kind.UNKNOWN_KEY,
            entry.getKey(),
            entry.getValue().get(0),
            "The section has no such key.");
      }
    }
  }

  Fault fault(ConfigurationError.Kind kind, String key, String value, String detail) {
    return new Fault(new ConfigurationError(kind, name, key, value, detail));
  }

  private long number(String key, String value, long lowest, long highest) {
    try {
      long parsed = Long.parseLong(value);
      if (parsed >= lowest && parsed <= highest) {
        return parsed;
      }
    } catch (NumberFormatException e) {
      // Reported below together with numbers out of range.
    }
    throw fault(
        ConfigurationError.Kind.INVALID_VALUE,
        key,
        value,
        "Expected a whole number from " + lowest + " to " + highest + ".");
  }
}
