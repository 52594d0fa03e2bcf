package org.shallothook.state.configuration;

import java.util.Locale;
import java.util.Objects;

/**
 * Why a template or a record of the configuration stream is refused.
 *
 * <p>Invariant: names the place, what was found and the remedy. Immutable and thread-safe.
 *
 * @param kind kind of the fault
 * @param section section of the INI text; empty where the fault is not in a section
 * @param key key within the section; empty where the fault is not at a key
 * @param value what was found, shortened
 * @param detail what is wrong with it, in one sentence
 */
public record ConfigurationError(
    Kind kind, String section, String key, String value, String detail) {
  private static final int LONGEST_VALUE_SHOWN = 80;

  /** Kinds of faults, each with its remedy. Immutable and thread-safe. */
  public enum Kind {
    UNREADABLE("Write INI: lines of [section], key = value, or comments opened by # or ;."),
    UNKNOWN_SECTION("Use only sections described in docs/operators/configuration.md."),
    UNKNOWN_KEY("Remove the key, or correct its spelling."),
    REPEATED_KEY("Keep one line with this key; only 'text' may be repeated."),
    MISSING_KEY("Add the key to the section."),
    INVALID_VALUE("Correct the value."),
    UNDEFINED_PARAMETER("Define the parameter in [parameters], or write $${name} for the text."),
    DUPLICATE_KEY_DIGEST("Give each team a key of its own."),
    CONFLICT("Read the template in force with 'show', merge, and publish on the new base offset."),
    TOO_FEW_ENGINES("Lower priority-engines, or publish again once more engines have the model."),
    UNKNOWN_TEMPLATE("Name a template that is in force; 'status' lists them.");

    private final String remedy;

    Kind(String remedy) {
      this.remedy = remedy;
    }

    /** Returns what the operator can do about it. */
    public String remedy() {
      return remedy;
    }

    /** Returns where the documentation explains the fault. */
    public String anchor() {
      return "docs/TROUBLESHOOTING.md#" + name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
  }

  public ConfigurationError {
    Objects.requireNonNull(kind, "kind");
    Objects.requireNonNull(section, "section");
    Objects.requireNonNull(key, "key");
    Objects.requireNonNull(detail, "detail");
    value = shorten(value);
  }

  /** Returns one sentence each for place, fault and remedy. */
  public String message() {
    StringBuilder message = new StringBuilder();
    if (!section.isEmpty()) {
      message.append('[').append(section).append("] ");
    }
    if (!key.isEmpty()) {
      message.append(key).append(" = ").append(value).append(": ");
    }
    message.append(detail).append(' ').append(kind.remedy());
    return message.append(" See ").append(kind.anchor()).append('.').toString();
  }

  private static String shorten(String value) {
    if (value.length() <= LONGEST_VALUE_SHOWN) {
      return value;
    }
    return value.substring(0, LONGEST_VALUE_SHOWN) + "...";
  }
}
