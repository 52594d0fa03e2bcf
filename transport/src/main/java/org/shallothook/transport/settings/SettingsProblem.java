package org.shallothook.transport.settings;

/**
 * One mistake in a settings file.
 *
 * <p>Immutable and thread-safe.
 *
 * @param file file as named by the operator
 * @param section section of the mistake; empty for the whole file
 * @param key key of the mistake; empty for the whole section
 * @param found value found; empty where there is none
 * @param problem what is wrong
 * @param remedy what to do about it
 */
public record SettingsProblem(
    String file, String section, String key, String found, String problem, String remedy) {

  /** Returns one line that names the place, what was found, and the remedy. */
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
