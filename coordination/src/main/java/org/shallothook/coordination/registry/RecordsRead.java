package org.shallothook.coordination.registry;

import java.util.List;
import org.shallothook.state.log.KeyedRecord;

/**
 * Records of a stream, starting at an offset.
 *
 * <p>Immutable and thread-safe.
 *
 * @param records records in stream order
 * @param nextOffset offset of the next read
 * @param endOffset end offset of the stream when it was read
 */
public record RecordsRead(List<KeyedRecord> records, long nextOffset, long endOffset) {
  public RecordsRead {
    records = List.copyOf(records);
  }
}
