package org.shallothook.standins.settings;

/** A settings file cannot be used; the message names the place and the remedy. */
public final class SettingsException extends RuntimeException {
  private static final long serialVersionUID = 1;

  /**
   * Creates the exception.
   *
   * @param file name of the file
   * @param section section of the file
   * @param key key in the section
   * @param remedy what to do about it
   */
  public SettingsException(String file, String section, String key, String remedy) {
    super(file + ": section [" + section + "], key '" + key + "': " + remedy);
  }
}
