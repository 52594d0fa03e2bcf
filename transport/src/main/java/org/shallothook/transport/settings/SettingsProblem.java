package org.shallothook.transport.settings;

/**
 * One error in a settings file.
 *
 * <p>Immutable and thread-safe.
 *
 * @param file path as given by the operator
 * @param section section with the error; empty if the error concerns the whole file
 * @param key key with the error; empty if the error concerns the whole section
 * @param found value in the file; empty if there is none
 * @param problem description of the error
 * @param remedy how to fix the error
 */
public record SettingsProblem(
    String file, String section, String key, String found, String problem, String remedy) {

  /** Returns one line with the location, the value, the error and the remedy. */
  public String message() {
    StringBuilder text = new StringBuilder(file).append(": ");
    if (!section.isEmpty()) {
      text.append('[').append(section).append("] ");
    }
    if (!key.isEmpty()) {
      text.append(key).append(' ');
    }
    if (!found.isEmpty()) {
      text.append("= ").append(found).append(' ');
    }
    return text.append("- ")
        .append(problem)
        .append(' ')
        .append(remedy)
        .append(" See docs/TROUBLESHOOTING.md#settings.")
        .toString();
  }
}
