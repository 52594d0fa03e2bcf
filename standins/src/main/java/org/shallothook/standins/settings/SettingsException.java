package org.shallothook.standins.settings;

/**
 * Thrown if a settings file is invalid. The message names the file, section and key and says what
 * to do.
 */
public final class SettingsException extends RuntimeException {
  private static final long serialVersionUID = 1;

  /**
   * Creates the exception.
   *
   * @param file path of the settings file
   * @param section name of the section, or empty
   * @param key key in the section, or empty
   * @param remedy what is wrong and how to correct it
   */
  public SettingsException(String file, String section, String key, String remedy) {
    super(file + ": section [" + section + "], key '" + key + "': " + remedy);
  }
}
