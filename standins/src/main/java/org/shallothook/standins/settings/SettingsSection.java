package org.shallothook.standins.settings;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/**
 * A section of a settings file. It records which keys are read, to detect unknown ones.
 *
 * <p>Invariant: after {@link #requireNoOtherKeys} returns, every key in the section has been read.
 * Not thread-safe.
 */
public final class SettingsSection {
  private static final long MILLISECOND_MICROS = 1_000;

  private final String file;
  private final String name;
  private final Map<String, String> values;
  private final Set<String> readKeys = new TreeSet<>();

  SettingsSection(String file, String name, Map<String, String> values) {
    this.file = file;
    this.name = name;
    this.values = Map.copyOf(values);
  }

  /** Returns the name of the section. */
  public String name() {
    return name;
  }

  /** Returns the value of a key, if present. */
  public Optional<String> text(String key) {
    readKeys.add(key);
    return Optional.ofNullable(values.get(key));
  }

  /**
   * Returns the value of a key.
   *
   * @throws SettingsException if the key is missing
   */
  public String requiredText(String key) {
    return text(key).orElseThrow(() -> problem(key, "is missing; add it."));
  }

  /**
   * Returns a non-negative integer, or the fallback if the key is missing.
   *
   * @throws SettingsException if the value is not a non-negative integer
   */
  public long nonNegativeLong(String key, long fallback) {
    Optional<String> value = text(key);
    if (value.isEmpty()) {
      return fallback;
    }
    try {
      long number = Long.parseLong(value.get());
      if (number >= 0) {
        return number;
      }
    } catch (NumberFormatException e) {
      throw invalidNumber(key, value.get());
    }
    throw invalidNumber(key, value.get());
  }

  /**
   * Returns a non-negative integer that fits an {@code int}, or the fallback if the key is missing.
   *
   * @throws SettingsException if the value is no such integer
   */
  public int nonNegativeInt(String key, int fallback) {
    long number = nonNegativeLong(key, fallback);
    if (number > Integer.MAX_VALUE) {
      throw invalidNumber(key, Long.toString(number));
    }
    return (int) number;
  }

  /**
   * Returns a value given in milliseconds, converted to microseconds, or the fallback if the key is
   * missing.
   *
   * @throws SettingsException if the value is not a non-negative integer
   */
  public long millisAsMicros(String key, long fallbackMicros) {
    return nonNegativeLong(key, fallbackMicros / MILLISECOND_MICROS) * MILLISECOND_MICROS;
  }

  /**
   * Returns a boolean, or the fallback if the key is missing.
   *
   * @throws SettingsException if the value is neither {@code true} nor {@code false}
   */
  public boolean flag(String key, boolean fallback) {
    String value = text(key).orElse(Boolean.toString(fallback));
    if (!value.equals("true") && !value.equals("false")) {
      throw problem(key, "found '" + value + "'; write true or false.");
    }
    return Boolean.parseBoolean(value);
  }

  /**
   * Returns an address of the form {@code IP:port}, if present.
   *
   * @throws SettingsException if the value is not a valid address
   */
  public Optional<InetSocketAddress> address(String key) {
    return text(key).map(value -> parseAddress(key, value));
  }

  private InetSocketAddress parseAddress(String key, String value) {
    int colon = value.lastIndexOf(':');
    try {
      int port = Integer.parseInt(value.substring(colon + 1));
      return new InetSocketAddress(value.substring(0, Math.max(0, colon)), port);
    } catch (IllegalArgumentException e) {
      throw problem(key, "found '" + value + "'; write IP:port, such as 127.0.0.1:9101.");
    }
  }

  /**
   * Checks that the section has no unknown keys, that is, none that has not been read.
   *
   * @throws SettingsException if it has one
   */
  public void requireNoOtherKeys() {
    for (String key : new TreeSet<>(values.keySet())) {
      if (!readKeys.contains(key)) {
        throw problem(key, "is unknown; remove it or use one of " + readKeys + ".");
      }
    }
  }

  /** Returns an exception that reports a problem with a key. */
  public SettingsException problem(String key, String remedy) {
    return new SettingsException(file, name, key, remedy);
  }

  private SettingsException invalidNumber(String key, String value) {
    return problem(key, "found '" + value + "'; write a whole number that is not negative.");
  }
}
