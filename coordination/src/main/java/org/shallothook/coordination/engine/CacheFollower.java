package org.shallothook.coordination.engine;

import java.util.List;
import java.util.Optional;
import org.shallothook.coordination.port.Counters;
import org.shallothook.coordination.sidecar.CacheChange;
import org.shallothook.coordination.sidecar.SidecarCommand;
import org.shallothook.coordination.sidecar.SidecarEvent;
import org.shallothook.coordination.sidecar.SidecarOptions;
import org.shallothook.coordination.sidecar.SidecarOutbox;
import org.shallothook.state.cache.BlockKey;
import org.shallothook.state.cache.PrefixIndex;

/**
 * Keeps the prefix index in step with the engine's cache by its changes and listings.
 *
 * <p>One question is open at a time. The interval between questions grows while nothing changes,
 * and work that is about to change the cache shortens it. Where no listing arrives in time after a
 * gap, the index is dropped, so that what it says is never older than that.
 *
 * <p>Not thread-safe: used on the decision thread.
 */
public final class CacheFollower {
  private static final long ANSWER_TIMEOUT_MICROS = 1_000_000;
  private static final long STALE_TIMEOUT_MICROS = 2_000_000;

  private final SidecarOutbox outbox;
  private final Counters counters;
  private final PrefixIndex index;
  private final PollInterval interval;
  private int room = Integer.MAX_VALUE;
  private long nextReadMicros = Long.MIN_VALUE;
  private long staleSinceMicros = Long.MAX_VALUE;
  private boolean isAsking;

  /** Creates a follower with an empty index. */
  public CacheFollower(SidecarOptions options, SidecarOutbox outbox, Counters counters) {
    this.outbox = outbox;
    this.counters = counters;
    this.index = new PrefixIndex(options.maximumIndexedBlocks());
    this.interval = new PollInterval(options.cachePollMicros());
  }

  /** Returns the number of leading blocks of the chain that the engine has cached. */
  public int matchedBlocks(List<BlockKey> chain) {
    return index.matchedBlocks(chain);
  }

  /** Returns whether the engine has cached the block. */
  public boolean contains(BlockKey key) {
    return index.contains(key);
  }

  /** Returns a cached block whose key has the abbreviation, if there is one. */
  public Optional<BlockKey> find(BlockKey abbreviation) {
    return index.find(abbreviation);
  }

  /** Returns the number of blocks known to be cached. */
  public int size() {
    return index.size();
  }

  /**
   * Returns the number of blocks that the engine's cache holds, as far as its evictions have shown;
   * {@link Integer#MAX_VALUE} before the first.
   */
  public int room() {
    return room;
  }

  /** Follows the incarnation that the engine has reported. */
  public void onIncarnation(String incarnation, long nowMicros) {
    int dropped = index.follow(incarnation);
    counters.add("cache.dropped-incarnation", dropped);
    ask(nowMicros);
  }

  /** Checks the whole index against the engine after a model version was unloaded. */
  public void onVersionRemoved(long nowMicros) {
    noteGap("cache.version-removed", nowMicros);
    ask(nowMicros);
  }

  /** Asks for changes when it is time to. */
  public void onTick(long nowMicros) {
    if (index.incarnation().isEmpty()) {
      return;
    }
    if (nowMicros - staleSinceMicros >= STALE_TIMEOUT_MICROS) {
      dropStale();
    }
    if (nowMicros >= nextReadMicros) {
      ask(nowMicros);
    }
  }

  /** Asks soon, because work is about to change the cache. */
  public void onWork(long nowMicros) {
    interval.shorten();
    if (!isAsking) {
      nextReadMicros = Math.min(nextReadMicros, nowMicros + interval.micros());
    }
  }

  /** Takes changes that the engine has published. */
  public void onChanged(SidecarEvent.CacheChanged event, long nowMicros) {
    isAsking = false;
    if (event.changes().isEmpty()) {
      interval.lengthen();
    } else {
      interval.shorten();
    }
    nextReadMicros = nowMicros + interval.micros();
    long sequence = event.firstSequence();
    for (CacheChange change : event.changes()) {
      PrefixIndex.Applied applied =
          index.apply(event.incarnation(), sequence, change.key(), change.isStored());
      sequence++;
      if (!isContinued(applied, nowMicros)) {
        return;
      }
    }
    learnRoom(event.changes());
    if (event.changes().isEmpty() && isBehind(event)) {
      noteGap("cache.gap", nowMicros);
      ask(nowMicros);
    }
  }

  /** Takes a listing of the engine's whole cache. */
  public void onListed(SidecarEvent.CacheListed event, long nowMicros) {
    isAsking = false;
    interval.shorten();
    nextReadMicros = nowMicros + interval.micros();
    int dropped = index.replace(event.incarnation(), event.nextSequence(), event.keys());
    counters.add("cache.dropped-listing", dropped);
    if (index.isSynchronised()) {
      counters.increment("cache.resynchronised");
      staleSinceMicros = Long.MAX_VALUE;
    }
  }

  /** Learns from the size after an eviction, and from a size that turns out greater. */
  private void learnRoom(List<CacheChange> changes) {
    boolean endsWithEviction =
        !changes.isEmpty() && !changes.get(changes.size() - 1).isStored() && index.size() > 0;
    if (endsWithEviction) {
      room = index.size();
    } else if (room != Integer.MAX_VALUE) {
      room = Math.max(room, index.size());
    }
  }

  private boolean isContinued(PrefixIndex.Applied applied, long nowMicros) {
    switch (applied) {
      case GAP -> {
        noteGap("cache.gap", nowMicros);
        ask(nowMicros);
        return false;
      }
      case OTHER_INCARNATION -> {
        counters.increment("cache.other-incarnation");
        return false;
      }
      case FULL -> counters.increment("cache.index-full");
      case TAKEN, REPEATED -> {}
    }
    return true;
  }

  private boolean isBehind(SidecarEvent.CacheChanged event) {
    return index.isSynchronised()
        && index.incarnation().equals(Optional.of(event.incarnation()))
        && event.firstSequence() > index.nextSequence();
  }

  private void noteGap(String counter, long nowMicros) {
    counters.increment(counter);
    index.markGap();
    staleSinceMicros = Math.min(staleSinceMicros, nowMicros);
  }

  private void dropStale() {
    String incarnation = index.incarnation().orElseThrow();
    counters.add("cache.dropped-stale", index.drop());
    index.follow(incarnation);
    staleSinceMicros = Long.MAX_VALUE;
  }

  private void ask(long nowMicros) {
    nextReadMicros = nowMicros + ANSWER_TIMEOUT_MICROS;
    isAsking = true;
    if (index.isSynchronised()) {
      outbox.command(new SidecarCommand.ReadCacheChanges(index.nextSequence()));
    } else {
      outbox.command(new SidecarCommand.ListCache());
    }
  }
}
