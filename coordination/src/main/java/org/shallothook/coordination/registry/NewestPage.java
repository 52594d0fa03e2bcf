package org.shallothook.coordination.registry;

import java.util.List;
import org.shallothook.state.log.KeyedRecord;

/**
 * A page of the newest record of each key. The pages of one scan are not a consistent snapshot.
 *
 * <p>Immutable and thread-safe.
 *
 * @param items records in the order of their keys
 * @param hasMore whether further pages follow
 * @param endOffset end offset of the stream when the page was read
 */
public record NewestPage(List<KeyedRecord> items, boolean hasMore, long endOffset) {
  public NewestPage {
    items = List.copyOf(items);
  }
}
