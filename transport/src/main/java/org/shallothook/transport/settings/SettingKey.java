package org.shallothook.transport.settings;

import java.util.List;
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
 */
public record SettingKey(
    String section,
    String key,
    SettingType type,
    Optional<String> defaultText,
    List<String> choices,
    String meaning) {
  public SettingKey {
    choices = List.copyOf(choices);
  }

  /** Declares a setting that must be in the file. */
  public static SettingKey required(String section, String key, SettingType type, String meaning) {
    return new SettingKey(section, key, type, Optional.empty(), List.of(), meaning);
  }

  /** Declares a setting with a default. */
  public static SettingKey withDefault(
      String section, String key, SettingType type, String defaultText, String meaning) {
    return new SettingKey(section, key, type, Optional.of(defaultText), List.of(), meaning);
  }

  /** Returns the same setting, limited to some values. */
  public SettingKey oneOf(List<String> allowed) {
    return new SettingKey(section, key, type, defaultText, allowed, meaning);
  }
}
