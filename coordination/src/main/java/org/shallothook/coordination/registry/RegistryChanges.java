package org.shallothook.coordination.registry;

import java.util.List;
import java.util.Optional;
import org.shallothook.state.log.KeyedRecord;

/**
 * Records of a stream that have replaced older ones.
 *
 * <p>Immutable and thread-safe.
 *
 * @param stream stream of the records
 * @param records the changed records; a removed key has a record without a value
 * @param completesFirstScan whether these changes complete the first scan of all keys of the stream
 * @param writtenAfterMicros time after which the records were written, on the decision clock in
 *     microseconds; empty if they may be of any age, as those of the first scan
 */
public record RegistryChanges(
    RegistryStream stream,
    List<KeyedRecord> records,
    boolean completesFirstScan,
    Optional<Long> writtenAfterMicros) {
  public RegistryChanges {
    records = List.copyOf(records);
  }
}
