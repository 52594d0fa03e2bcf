package org.shallothook.standins.cache;

import java.util.List;
import org.shallothook.state.cache.BlockKey;

/**
 * Consecutive changes of a cache.
 *
 * <p>Immutable and thread-safe.
 *
 * @param firstSequence sequence number of the first change, or the requested sequence number if
 *     there are no changes
 * @param changes changes with consecutive sequence numbers
 */
public record CacheFeedPage(long firstSequence, List<Change> changes) {
  public CacheFeedPage {
    changes = List.copyOf(changes);
  }

  /**
   * A change of one block.
   *
   * @param key key of the block
   * @param isStored {@code true} if the block was stored, {@code false} if it was evicted
   */
  public record Change(BlockKey key, boolean isStored) {}
}
