package org.shallothook.state.log;

import java.util.Objects;
import java.util.Optional;

/**
 * A record of a log stream in which the newest record of each key counts.
 *
 * <p>Invariant: the offset is not negative. Immutable and thread-safe.
 *
 * @param offset position in the stream
 * @param key what the record is about
 * @param value newest value; empty where the key was removed
 */
public record KeyedRecord(long offset, String key, Optional<String> value) {
  public KeyedRecord {
    Objects.requireNonNull(key, "key");
    Objects.requireNonNull(value, "value");
    if (offset < 0) {
      throw new IllegalArgumentException("offset must not be negative, found " + offset);
    }
  }
}
