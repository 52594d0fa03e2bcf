package org.shallothook.state.configuration;

import java.util.Locale;
import java.util.Objects;

/**
 * Why a template or a record of the configuration stream is rejected.
 *
 * <p>Invariant: states the place of the error, the value found there and the remedy. Immutable and
 * thread-safe.
 *
 * @param kind kind of the error
 * @param section section of the INI text; empty if the error is not in a section
 * @param key key within the section; empty if the error does not concern a key
 * @param value value that was found, truncated if it is long
 * @param detail what is wrong, in one sentence
 */
public record ConfigurationError(
    Kind kind, String section, String key, String value, String detail) {
  private static final int MAXIMUM_SHOWN_VALUE_CHARS = 80;

  /** Kinds of errors, each with its remedy. Immutable and thread-safe. */
  public enum Kind {
    UNREADABLE("Write INI: lines of [section], key = value, or comments starting with # or ;."),
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

    /** Returns what the operator can do to resolve the error. */
    public String remedy() {
      return remedy;
    }

    /** Returns the path and anchor of the documentation of the error. */
    public String anchor() {
      return "docs/TROUBLESHOOTING.md#" + name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
  }

  public ConfigurationError {
    Objects.requireNonNull(kind, "kind");
    Objects.requireNonNull(section, "section");
    Objects.requireNonNull(key, "key");
    Objects.requireNonNull(detail, "detail");
    value = truncate(value);
  }

  /** Returns a message that states the place, the error, the remedy and the documentation. */
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

  private static String truncate(String value) {
    if (value.length() <= MAXIMUM_SHOWN_VALUE_CHARS) {
      return value;
    }
    return value.substring(0, MAXIMUM_SHOWN_VALUE_CHARS) + "...";
  }
}
