package org.shallothook.state.booking;

import java.util.Optional;
import java.util.UUID;

/**
 * Reads the creation time that an idempotency key contains.
 *
 * <p>Only UUIDs of version 7 contain their creation time. Stateless and thread-safe.
 */
public final class IdempotencyKeyTime {
  private static final int TIME_ORDERED_VERSION = 7;
  private static final int TIMESTAMP_SHIFT = 16;
  private static final long MICROS_PER_MILLI = 1_000;

  private IdempotencyKeyTime() {}

  /** Returns the creation time of a key in microseconds since the epoch, if the key contains it. */
  public static Optional<Long> createdAtMicros(String key) {
    if (key.length() != 36) {
      return Optional.empty();
    }
    try {
      UUID uuid = UUID.fromString(key);
      return uuid.version() == TIME_ORDERED_VERSION
          ? Optional.of((uuid.getMostSignificantBits() >>> TIMESTAMP_SHIFT) * MICROS_PER_MILLI)
          : Optional.empty();
    } catch (IllegalArgumentException e) {
      return Optional.empty();
    }
  }
}
