package org.shallothook.transport.settings;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Declares one setting: where it stands, what it takes, and its default.
 *
 * <p>Invariant: a setting without a default is required. Immutable and thread-safe.
 *
 * @param section section of the file
 * @param key key within the section
 * @param type kind of value
 * @param defaultText default in the form of the file; empty for a required setting
 * @param choices allowed values; empty where the type alone decides
 * @param meaning what the setting does, with its unit
 * @param condition value of another setting that makes this one required in spite of its default
 */
public record SettingKey(
    String section,
    String key,
    SettingType type,
    Optional<String> defaultText,
    List<String> choices,
    String meaning,
    Optional<Condition> condition) {
  public SettingKey {
    choices = List.copyOf(choices);
  }

  /** Declares a setting that must be in the file. */
  public static SettingKey required(String section, String key, SettingType type, String meaning) {
    return new SettingKey(
        section, key, type, Optional.empty(), List.of(), meaning, Optional.empty());
  }

  /** Declares a setting with a default. */
  public static SettingKey withDefault(
      String section, String key, SettingType type, String defaultText, String meaning) {
    return new SettingKey(
        section, key, type, Optional.of(defaultText), List.of(), meaning, Optional.empty());
  }

  /** Returns the same setting, limited to some values. */
  public SettingKey oneOf(List<String> allowed) {
    return new SettingKey(section, key, type, defaultText, allowed, meaning, condition);
  }

  /** Returns the same setting, required where another one has a value. */
  public SettingKey requiredWhere(SettingKey other, String value) {
    Condition required = new Condition(other.section(), other.key(), value);
    return new SettingKey(section, key, type, defaultText, choices, meaning, Optional.of(required));
  }

  /** Returns whether the texts of a file, by section and key, need this setting to be there. */
  boolean isRequiredBy(Map<String, Map<String, String>> texts) {
    return condition.filter(required -> required.isMetBy(texts)).isPresent();
  }

  /** A value of another setting. Immutable and thread-safe. */
  public record Condition(String section, String key, String value) {
    private boolean isMetBy(Map<String, Map<String, String>> texts) {
      return value.equals(texts.getOrDefault(section, Map.of()).get(key));
    }
  }
}
