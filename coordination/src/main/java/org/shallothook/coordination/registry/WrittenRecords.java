package org.shallothook.coordination.registry;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.shallothook.state.collection.BoundedMaps;
import org.shallothook.state.log.KeyedRecord;

/**
 * The values that this process has written and that no other process has replaced since, so that
 * they can be written again after a restore of the store.
 *
 * <p>Invariant: bounded; the values written first are forgotten first. Not thread-safe.
 */
final class WrittenRecords {
  private static final int MAXIMUM_RECORDS_PER_STREAM = 256;

  private final Map<RegistryStream, Map<String, Optional<String>>> values = new HashMap<>();

  /** Records that a value was written; empty if the key was removed. */
  void onWritten(RegistryStream stream, String key, Optional<String> value) {
    BoundedMaps.putNewest(
        values.computeIfAbsent(stream, added -> new LinkedHashMap<>()),
        key,
        value,
        MAXIMUM_RECORDS_PER_STREAM);
  }

  /** Forgets the values that records of the stream have replaced. */
  void onChanges(RegistryStream stream, List<KeyedRecord> changes) {
    Map<String, Optional<String>> written = values.getOrDefault(stream, Map.of());
    for (KeyedRecord change : changes) {
      Optional<String> own = written.get(change.key());
      if (own != null && !own.equals(change.value())) {
        written.remove(change.key());
      }
    }
  }

  /**
   * Returns what a copy of the store lacks: values that it does not have or has an older one of,
   * and removals of keys that it still has.
   */
  List<KeyedRecord> missingIn(RegistryStream stream, KeyedFollower scanned) {
    List<KeyedRecord> missing = new ArrayList<>();
    values
        .getOrDefault(stream, Map.of())
        .forEach(
            (key, value) -> {
              boolean isInCopy = scanned.isScanned(key);
              boolean isCurrent = isInCopy && !scanned.state().isOutdatedInStore(key);
              if (value.isPresent() ? !isCurrent : isInCopy) {
                missing.add(new KeyedRecord(0, key, value));
              }
            });
    return missing;
  }
}
