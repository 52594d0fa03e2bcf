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
 * Keeps the prefix index synchronised with the engine's cache, from incremental changes and full
 * listings.
 *
 * <p>At most one read is outstanding. The polling interval grows while nothing changes, and is
 * reset by work that is about to change the cache. If no listing arrives in time after a gap, the
 * index is dropped, which bounds how stale its entries can be.
 *
 * <p>Not thread-safe: used on the decision thread.
 */
public final class CacheFollower {
  private static final long RESPONSE_TIMEOUT_MICROS = 1_000_000;
  private static final long RESYNC_TIMEOUT_MICROS = 2_000_000;

  private final SidecarOutbox outbox;
  private final Counters counters;
  private final PrefixIndex index;
  private final PollInterval interval;
  private int capacityBlocks = Integer.MAX_VALUE;
  private long nextReadMicros = Long.MIN_VALUE;
  private long staleSinceMicros = Long.MAX_VALUE;
  private boolean isReadPending;

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

  /** Returns a cached block whose key matches the abbreviated key, if there is one. */
  public Optional<BlockKey> find(BlockKey abbreviatedKey) {
    return index.find(abbreviatedKey);
  }

  /** Returns the number of indexed blocks. */
  public int size() {
    return index.size();
  }

  /**
   * Returns the estimated capacity of the engine's cache in blocks: its size after the latest
   * eviction, or larger if it has grown since; {@link Integer#MAX_VALUE} before the first eviction.
   */
  public int capacityBlocks() {
    return capacityBlocks;
  }

  /** Switches to the incarnation that the engine reported, dropping blocks of an earlier one. */
  public void onIncarnation(String incarnation, long nowMicros) {
    int dropped = index.follow(incarnation);
    counters.add("cache.dropped-incarnation", dropped);
    read(nowMicros);
  }

  /** Requests a full listing of the cache after a model version was unloaded. */
  public void onVersionRemoved(long nowMicros) {
    recordGap("cache.version-removed", nowMicros);
    read(nowMicros);
  }

  /** Polls the cache when the next read is due, and drops an index that stayed stale too long. */
  public void onTick(long nowMicros) {
    if (index.incarnation().isEmpty()) {
      return;
    }
    if (nowMicros - staleSinceMicros >= RESYNC_TIMEOUT_MICROS) {
      dropStale();
    }
    if (nowMicros >= nextReadMicros) {
      read(nowMicros);
    }
  }

  /** Shortens the polling interval, because work is about to change the cache. */
  public void onWorkStarted(long nowMicros) {
    interval.shorten();
    if (!isReadPending) {
      nextReadMicros = Math.min(nextReadMicros, nowMicros + interval.micros());
    }
  }

  /** Applies cache changes published by the engine. */
  public void onChanged(SidecarEvent.CacheChanged event, long nowMicros) {
    isReadPending = false;
    if (event.changes().isEmpty()) {
      interval.lengthen();
    } else {
      interval.shorten();
    }
    nextReadMicros = nowMicros + interval.micros();
    long sequence = event.firstSequence();
    for (CacheChange change : event.changes()) {
      PrefixIndex.ChangeResult applied =
          index.apply(event.incarnation(), sequence, change.key(), change.isStored());
      sequence++;
      if (!canContinue(applied, nowMicros)) {
        return;
      }
    }
    updateCapacity(event.changes());
    if (event.changes().isEmpty() && isBehind(event)) {
      recordGap("cache.gap", nowMicros);
      read(nowMicros);
    }
  }

  /** Replaces the index by a full listing of the engine's cache. */
  public void onListed(SidecarEvent.CacheListed event, long nowMicros) {
    isReadPending = false;
    interval.shorten();
    nextReadMicros = nowMicros + interval.micros();
    int dropped = index.replace(event.incarnation(), event.nextSequence(), event.keys());
    counters.add("cache.dropped-listing", dropped);
    if (index.isSynchronised()) {
      counters.increment("cache.resynchronised");
      staleSinceMicros = Long.MAX_VALUE;
    }
  }

  /** Updates the estimated capacity from the size after an eviction, or from a larger size. */
  private void updateCapacity(List<CacheChange> changes) {
    boolean endsWithEviction =
        !changes.isEmpty() && !changes.get(changes.size() - 1).isStored() && index.size() > 0;
    if (endsWithEviction) {
      capacityBlocks = index.size();
    } else if (capacityBlocks != Integer.MAX_VALUE) {
      capacityBlocks = Math.max(capacityBlocks, index.size());
    }
  }

  private boolean canContinue(PrefixIndex.ChangeResult applied, long nowMicros) {
    switch (applied) {
      case GAP -> {
        recordGap("cache.gap", nowMicros);
        read(nowMicros);
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

  private void recordGap(String counter, long nowMicros) {
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

  private void read(long nowMicros) {
    nextReadMicros = nowMicros + RESPONSE_TIMEOUT_MICROS;
    isReadPending = true;
    if (index.isSynchronised()) {
      outbox.command(new SidecarCommand.ReadCacheChanges(index.nextSequence()));
    } else {
      outbox.command(new SidecarCommand.ListCache());
    }
  }
}
