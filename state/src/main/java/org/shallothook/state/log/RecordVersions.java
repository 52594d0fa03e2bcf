package org.shallothook.state.log;

import java.util.Optional;

/**
 * Orders the values of a key by what they state themselves, for records whose offsets cannot be
 * compared because the store was restored between them.
 *
 * <p>Implementations are stateless and thread-safe, and never throw.
 */
@FunctionalInterface
public interface RecordVersions {
  /** Orders no values. */
  RecordVersions NONE = (key, value) -> Optional.empty();

  /** Returns the version that a value states; empty if it states none. */
  Optional<RecordVersion> versionOf(String key, String value);
}
