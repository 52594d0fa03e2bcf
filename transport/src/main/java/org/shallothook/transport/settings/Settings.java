package org.shallothook.transport.settings;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

/**
 * Validated values of a settings file.
 *
 * <p>Invariant: every declared setting has a value of its type. Immutable and thread-safe.
 */
public final class Settings {
  private final Map<SettingKey, Object> values;

  Settings(Map<SettingKey, Object> values) {
    this.values = Map.copyOf(values);
  }

  /** Returns the value of a {@link SettingType#TEXT} or {@link SettingType#NAME}. */
  public String text(SettingKey key) {
    return (String) value(key);
  }

  /** Returns the value of a {@link SettingType#ADDRESS}. */
  public InetSocketAddress address(SettingKey key) {
    return (InetSocketAddress) value(key);
  }

  /** Returns the value of an {@link SettingType#OPTIONAL_ADDRESS}; empty for {@code none}. */
  @SuppressWarnings("unchecked")
  public Optional<InetSocketAddress> optionalAddress(SettingKey key) {
    return (Optional<InetSocketAddress>) value(key);
  }

  /** Returns the value of a {@link SettingType#POSITIVE} or {@link SettingType#RING_SIZE}. */
  public int number(SettingKey key) {
    return (Integer) value(key);
  }

  /** Returns the value of a {@link SettingType#SWITCH}. */
  public boolean isEnabled(SettingKey key) {
    return (Boolean) value(key);
  }

  /** Returns the value of a share, an amount or a duration in the unit of its key. */
  public double amount(SettingKey key) {
    return (Double) value(key);
  }

  /**
   * Returns a duration in microseconds.
   *
   * @param unit unit of the value in the settings file
   */
  public long micros(SettingKey key, TimeUnit unit) {
    return (long) (amount(key) * unit.toMicros(1));
  }

  private Object value(SettingKey key) {
    Object value = values.get(key);
    if (value == null) {
      throw new IllegalArgumentException("The setting is not declared: " + key);
    }
    return value;
  }
}
