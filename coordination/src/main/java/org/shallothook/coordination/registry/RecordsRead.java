package org.shallothook.coordination.registry;

import java.util.List;
import org.shallothook.state.log.KeyedRecord;

/**
 * Records of a stream from an offset on.
 *
 * <p>Immutable and thread-safe.
 *
 * @param records records in the order of the stream
 * @param nextOffset offset to go on from
 * @param endOffset end of the stream when it was read
 */
public record RecordsRead(List<KeyedRecord> records, long nextOffset, long endOffset) {
  public RecordsRead {
    records = List.copyOf(records);
  }
}
