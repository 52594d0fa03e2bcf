package org.shallothook.coordination.hotprefix;

import java.util.List;
import org.shallothook.coordination.admission.PrefixAvailability;
import org.shallothook.coordination.admission.PrefixForecast;
import org.shallothook.coordination.admission.PrefixSpread;
import org.shallothook.coordination.engine.CacheFollower;
import org.shallothook.coordination.message.PeerMessage;
import org.shallothook.coordination.port.Counters;
import org.shallothook.coordination.sidecar.SidecarEvent;
import org.shallothook.coordination.sidecar.SidecarOptions;
import org.shallothook.coordination.sidecar.SidecarOutbox;
import org.shallothook.state.cache.BlockKey;
import org.shallothook.state.cache.CacheIdentity;
import org.shallothook.state.configuration.PriorityClass;
import org.shallothook.state.request.AttemptId;

/**
 * Tracks the demand for prefixes at this engine; spreads and exports hot ones.
 *
 * <p>Only the home upstream of a prompt (rendezvous rank 0) reports a spread, because only its
 * share of the demand is known to be that of a single rank.
 *
 * <p>Not thread-safe: used on the decision thread.
 */
public final class HotPrefixes implements PrefixAvailability {
  private static final int MAXIMUM_PREFIXES = 256;
  private static final long REVIEW_INTERVAL_MICROS = 500_000;
  private static final double MICROS_PER_SECOND = 1_000_000;

  private final PrefixTracker tracker;
  private final BlockTransfers transfers;
  private final DemandSketch demand = new DemandSketch(MAXIMUM_PREFIXES);
  private final SpreadPolicy spreadPolicy = new SpreadPolicy();
  private boolean hasStore;
  private double engineSecondsPerRequest;
  private long nextReviewMicros = Long.MIN_VALUE;

  /** Creates an instance without any recorded demand. */
  public HotPrefixes(
      SidecarOptions options, SidecarOutbox outbox, Counters counters, CacheFollower cache) {
    tracker = new PrefixTracker(cache, counters);
    transfers = new BlockTransfers(options, outbox, counters, tracker);
  }

  /** Sets whether a cache store is available for imports and exports. */
  public void setStore(boolean isPresent) {
    hasStore = isPresent;
  }

  /** Returns the spread of the offer's deepest hot prefix, or {@link PrefixSpread#UNSPECIFIED}. */
  public PrefixSpread spread(PeerMessage.Offer offer) {
    if (offer.rank() > 0) {
      return PrefixSpread.UNSPECIFIED;
    }
    for (int depth = offer.keys().size(); depth > 0; depth--) {
      int ranks = spreadPolicy.ranks(offer.keys().get(depth - 1));
      if (ranks > 1) {
        return new PrefixSpread(ranks, depth);
      }
    }
    return PrefixSpread.UNSPECIFIED;
  }

  @Override
  public int matchedBlocks(List<BlockKey> chain) {
    return tracker.matchedBlocks(chain);
  }

  @Override
  public PrefixForecast forecast(
      PeerMessage.Offer offer, long prefillMicrosPerBlock, long nowMicros) {
    PrefixForecast forecast = tracker.forecast(offer.keys(), nowMicros);
    return hasStore ? transfers.withImport(forecast, offer, prefillMicrosPerBlock) : forecast;
  }

  @Override
  public boolean wouldEvictBlocksInUse(List<BlockKey> chain, long nowMicros) {
    return tracker.wouldEvictBlocksInUse(chain, nowMicros);
  }

  @Override
  public boolean isNextBlockPending(List<BlockKey> chain, long nowMicros) {
    return tracker.isNextBlockPending(chain, nowMicros);
  }

  @Override
  public boolean hasStartedFetch(
      PeerMessage.Offer offer, long prefillMicrosPerBlock, long nowMicros) {
    return hasStore && transfers.hasStartedImport(offer, prefillMicrosPerBlock, nowMicros);
  }

  @Override
  public void onStarted(AttemptId run, List<BlockKey> chain, long expectedMicros, long nowMicros) {
    tracker.onStarted(run, chain, expectedMicros, nowMicros);
  }

  @Override
  public void onComputed(AttemptId run, long nowMicros) {
    tracker.onComputed(run, nowMicros);
  }

  @Override
  public void onRunEnded(AttemptId run) {
    tracker.removePending(run);
  }

  /**
   * Records the demand of a submitted request.
   *
   * @param offer offer of the request
   * @param maximumRunning slots of the engine
   * @param streamMicros mean duration of a run on the engine, in microseconds
   * @param nowMicros time of the submission
   */
  public void onSubmitted(
      PeerMessage.Offer offer, int maximumRunning, long streamMicros, long nowMicros) {
    engineSecondsPerRequest = streamMicros / MICROS_PER_SECOND / Math.max(1, maximumRunning);
    boolean isPriority = offer.priority() == PriorityClass.PRIORITY;
    for (BlockPrefix prefix : prefixesOf(offer)) {
      demand.record(prefix, isPriority, nowMicros);
      if (offer.rank() == 0) {
        increaseSpread(prefix.key(), nowMicros);
      }
    }
  }

  /**
   * Returns whether the store is known to have had the last block of a prefix, which it may have
   * evicted since.
   */
  public boolean isStored(List<BlockKey> keys) {
    return transfers.isStored(keys.get(keys.size() - 1));
  }

  /**
   * Starts an export of a prefix that is cached here, unless the store has it.
   *
   * @return true if the store already has the prefix, so that every engine can import it, or if
   *     there is no store
   */
  public boolean isStoredOrExport(CacheIdentity identity, List<BlockKey> keys, long nowMicros) {
    if (!hasStore || isStored(keys)) {
      return true;
    }
    transfers.exportIfMissing(new BlockPrefix(identity, keys, keys.size()), nowMicros);
    return false;
  }

  /** Records the end of a transfer. */
  public void onTransferEnded(SidecarEvent.TransferEnded event, long nowMicros) {
    transfers.onEnded(event, nowMicros);
  }

  /** Discards the known state of the engine's cache, because the engine has restarted. */
  public void onIncarnation() {
    tracker.onIncarnation();
    transfers.onIncarnation();
  }

  /** Reduces spreads of prefixes with low demand and exports hot prefixes. */
  public void onTick(long nowMicros) {
    tracker.onTick(nowMicros);
    transfers.onTick(nowMicros);
    if (nowMicros < nextReviewMicros) {
      return;
    }
    nextReviewMicros = nowMicros + REVIEW_INTERVAL_MICROS;
    spreadPolicy.spreadKeys().forEach(key -> decreaseSpread(key, nowMicros));
    if (hasStore) {
      demand.exportCandidates().forEach(prefix -> transfers.exportIfMissing(prefix, nowMicros));
    }
  }

  private List<BlockPrefix> prefixesOf(PeerMessage.Offer offer) {
    List<BlockPrefix> prefixes = BlockPrefix.of(offer.identity(), offer.keys());
    if (!prefixes.isEmpty()) {
      BlockPrefix deepest = prefixes.get(prefixes.size() - 1);
      demand
          .find(deepest.key())
          .flatMap(known -> known.sharedBeyond(offer.keys()))
          .ifPresent(prefixes::add);
    }
    return prefixes;
  }

  /**
   * Doubles the spread if the prefix uses a high share of the engine, and halves its expected
   * demand here.
   */
  private void increaseSpread(BlockKey key, long nowMicros) {
    if (spreadPolicy.hasDoubled(key, engineShare(key, nowMicros), nowMicros)) {
      demand.scale(key, 0.5);
    }
  }

  /**
   * Halves the spread if the prefix uses a low share of the engine, and doubles its expected demand
   * here.
   */
  private void decreaseSpread(BlockKey key, long nowMicros) {
    if (spreadPolicy.hasHalved(key, engineShare(key, nowMicros), nowMicros)) {
      demand.scale(key, 2);
    }
  }

  private double engineShare(BlockKey key, long nowMicros) {
    return demand.ratePerSecond(key, nowMicros) * engineSecondsPerRequest;
  }
}
