package org.shallothook.standins.cache;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.shallothook.state.cache.BlockKey;

/**
 * Feed of numbered cache changes, published after a delay. It can be made to omit changes, which
 * leaves gaps in the sequence.
 *
 * <p>Invariant: the sequence number increases by one with each change, omitted changes included.
 * Not thread-safe.
 */
public final class CacheFeed {
  private static final int RETAINED_CHANGES = 20_000;
  private static final int PAGE_CHANGES = 2_000;

  private final long publishDelayMicros;
  private final Deque<Entry> entries = new ArrayDeque<>();
  private long nextSequence;
  private long changesToLose;

  /**
   * Creates an empty feed.
   *
   * @param publishDelayMicros delay before a change can be read, in microseconds
   */
  public CacheFeed(long publishDelayMicros) {
    this.publishDelayMicros = publishDelayMicros;
  }

  /** Adds a change: the block was stored, or else evicted. */
  public void add(BlockKey key, boolean isStored, long nowMicros) {
    long sequence = nextSequence++;
    if (changesToLose > 0) {
      changesToLose--;
      return;
    }
    entries.addLast(
        new Entry(
            sequence, nowMicros + publishDelayMicros, new CacheFeedPage.Change(key, isStored)));
    if (entries.size() > RETAINED_CHANGES) {
      entries.removeFirst();
    }
  }

  /** Omits the next changes, so that their sequence numbers are never published. */
  public void omitChanges(long count) {
    changesToLose = count;
  }

  /** Returns the sequence number of the next change. */
  public long nextSequence() {
    return nextSequence;
  }

  /**
   * Returns the published changes from a sequence number on, up to the next gap in the sequence.
   */
  public CacheFeedPage read(long fromSequence, long nowMicros) {
    long first = fromSequence;
    List<CacheFeedPage.Change> changes = new ArrayList<>();
    for (Entry entry : entries) {
      if (entry.sequence < fromSequence) {
        continue;
      }
      if (entry.visibleAtMicros > nowMicros || changes.size() == PAGE_CHANGES) {
        break;
      }
      if (changes.isEmpty()) {
        first = entry.sequence;
      } else if (entry.sequence != first + changes.size()) {
        break;
      }
      changes.add(entry.change);
    }
    return new CacheFeedPage(first, changes);
  }

  private record Entry(long sequence, long visibleAtMicros, CacheFeedPage.Change change) {}
}
