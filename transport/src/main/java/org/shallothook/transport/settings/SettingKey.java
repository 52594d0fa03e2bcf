package org.shallothook.transport.settings;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Declaration of one setting: its section and key, the type of its value, and its default.
 *
 * <p>Invariant: a setting without a default is required. Immutable and thread-safe.
 *
 * @param section section of the settings file
 * @param key key within the section
 * @param type type of the value
 * @param defaultText default value as written in a file; empty for a required setting
 * @param choices allowed values; empty if every value of the type is allowed
 * @param description description of the setting, with its unit
 * @param condition value of another setting that makes this one required although it has a default
 */
public record SettingKey(
    String section,
    String key,
    SettingType type,
    Optional<String> defaultText,
    List<String> choices,
    String description,
    Optional<Condition> condition) {
  public SettingKey {
    choices = List.copyOf(choices);
  }

  /** Declares a required setting. */
  public static SettingKey required(String section, String key, SettingType type, String meaning) {
    return new SettingKey(
        section, key, type, Optional.empty(), List.of(), meaning, Optional.empty());
  }

  /** Declares an optional setting with a default. */
  public static SettingKey withDefault(
      String section, String key, SettingType type, String defaultText, String meaning) {
    return new SettingKey(
        section, key, type, Optional.of(defaultText), List.of(), meaning, Optional.empty());
  }

  /** Returns this setting, limited to the given values. */
  public SettingKey oneOf(List<String> allowed) {
    return new SettingKey(section, key, type, defaultText, allowed, description, condition);
  }

  /** Returns this setting, required if another setting has the given value. */
  public SettingKey requiredWhere(SettingKey other, String value) {
    Condition required = new Condition(other.section(), other.key(), value);
    return new SettingKey(
        section, key, type, defaultText, choices, description, Optional.of(required));
  }

  /** Returns whether a file's values, by section and key, make this setting required. */
  boolean isRequiredBy(Map<String, Map<String, String>> texts) {
    return condition.filter(required -> required.isMetBy(texts)).isPresent();
  }

  /** A value that another setting must have. Immutable and thread-safe. */
  public record Condition(String section, String key, String value) {
    private boolean isMetBy(Map<String, Map<String, String>> texts) {
      return value.equals(texts.getOrDefault(section, Map.of()).get(key));
    }
  }
}
