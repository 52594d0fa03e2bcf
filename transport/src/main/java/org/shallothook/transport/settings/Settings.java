package org.shallothook.transport.settings;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Checked values of a settings file.
 *
 * <p>Invariant: every declared setting has a value of its type. Immutable and thread-safe.
 */
public final class Settings {
  private final Map<SettingKey, Object> values;

  Settings(Map<SettingKey, Object> values) {
    this.values = Map.copyOf(values);
  }

  /** Returns the value of a text or name. */
  public String text(SettingKey key) {
    return (String) value(key);
  }

  /** Returns the value of an address. */
  public InetSocketAddress address(SettingKey key) {
    return (InetSocketAddress) value(key);
  }

  /** Returns the value of an address that may be absent. */
  @SuppressWarnings("unchecked")
  public Optional<InetSocketAddress> optionalAddress(SettingKey key) {
    return (Optional<InetSocketAddress>) value(key);
  }

  /** Returns the value of a whole number. */
  public int number(SettingKey key) {
    return (Integer) value(key);
  }

  /** Returns the value of a share or an amount. */
  public double amount(SettingKey key) {
    return (Double) value(key);
  }

  /**
   * Returns a duration in microseconds.
   *
   * @param unit the unit that the key is written in
   */
  public long micros(SettingKey key, TimeUnit unit) {
    return (long) (amount(key) * unit.toMicros(1));
  }

  private Object value(SettingKey key) {
    Object value = values.get(key);
    if (value == null) {
      throw new IllegalArgumentException("Setting is not declared: " + key);
    }
    return value;
  }
}
