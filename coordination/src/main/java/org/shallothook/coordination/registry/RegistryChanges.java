package org.shallothook.coordination.registry;

import java.util.List;
import org.shallothook.state.log.KeyedRecord;
import org.shallothook.state.log.WrittenTime;

/**
 * Records of a stream that have replaced older ones.
 *
 * <p>Immutable and thread-safe.
 *
 * @param stream stream of the records
 * @param records the changed records; a removed key has a record without a value
 * @param completesFirstScan whether all keys of the stream are known with these changes, which are
 *     those of the last page alone; keys that a scan did not find have a record without a value
 * @param written what is known of the time at which the records were written
 */
public record RegistryChanges(
    RegistryStream stream,
    List<KeyedRecord> records,
    boolean completesFirstScan,
    WrittenTime written) {
  public RegistryChanges {
    records = List.copyOf(records);
  }
}
