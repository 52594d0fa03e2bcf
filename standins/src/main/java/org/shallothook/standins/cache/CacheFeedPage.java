package org.shallothook.standins.cache;

import java.util.List;
import org.shallothook.state.cache.BlockKey;

/**
 * A run of consecutive changes of a cache.
 *
 * <p>Immutable and thread-safe.
 *
 * @param firstSequence sequence number of the first change, or of the first missing one where there
 *     is none
 * @param changes consecutive changes
 */
public record CacheFeedPage(long firstSequence, List<Change> changes) {
  public CacheFeedPage {
    changes = List.copyOf(changes);
  }

  /**
   * One change.
   *
   * @param key key of the block
   * @param isStored whether the block was stored; otherwise it was evicted
   */
  public record Change(BlockKey key, boolean isStored) {}
}
