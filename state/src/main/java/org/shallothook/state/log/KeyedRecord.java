package org.shallothook.state.log;

import java.util.Objects;
import java.util.Optional;

/**
 * A record of a log stream in which the newest record of each key supersedes the earlier ones.
 *
 * <p>Invariant: the offset is not negative. Immutable and thread-safe.
 *
 * @param offset position in the stream
 * @param key key whose value the record sets or removes
 * @param value new value of the key; empty if the record removes the key
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
