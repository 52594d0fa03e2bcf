package org.shallothook.coordination.hotprefix;

import java.util.List;
import org.shallothook.coordination.admission.PrefixForecast;
import org.shallothook.coordination.admission.PrefixSpread;
import org.shallothook.coordination.admission.PrefixSupply;
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
 * Follows the demand for prefixes at this engine, and acts on those that are hot.
 *
 * <p>Only the home of a prompt (rendezvous rank 0) states a spread, because only its share of the
 * demand is known to be that of one rank.
 *
 * <p>Not thread-safe: used on the decision thread.
 */
public final class HotPrefixes implements PrefixSupply {
  private static final int MAXIMUM_PREFIXES = 256;
  private static final long REVIEW_INTERVAL_MICROS = 500_000;
  private static final double MICROS_PER_SECOND = 1_000_000;

  private final PrefixGate gate;
  private final BlockTransfers transfers;
  private final DemandSketch demand = new DemandSketch(MAXIMUM_PREFIXES);
  private final SpreadPolicy spreads = new SpreadPolicy();
  private boolean hasStore;
  private double engineSecondsPerRequest;
  private long nextReviewMicros = Long.MIN_VALUE;

  /** Creates the hot prefixes of an engine without demand. */
  public HotPrefixes(
      SidecarOptions options, SidecarOutbox outbox, Counters counters, CacheFollower cache) {
    gate = new PrefixGate(cache, counters);
    transfers = new BlockTransfers(options, outbox, counters, gate);
  }

  /** Sets whether there is a cache store to transfer blocks to and from. */
  public void setStore(boolean isPresent) {
    hasStore = isPresent;
  }

  /** Returns the spread of the offer's deepest hot prefix. */
  public PrefixSpread spread(PeerMessage.Offer offer) {
    if (offer.rank() > 0) {
      return PrefixSpread.UNSPECIFIED;
    }
    for (int depth = offer.keys().size(); depth > 0; depth--) {
      int ranks = spreads.ranks(offer.keys().get(depth - 1));
      if (ranks > 1) {
        return new PrefixSpread(ranks, depth);
      }
    }
    return PrefixSpread.UNSPECIFIED;
  }

  @Override
  public int matchedBlocks(List<BlockKey> chain) {
    return gate.matchedBlocks(chain);
  }

  @Override
  public PrefixForecast forecast(
      PeerMessage.Offer offer, long prefillMicrosPerBlock, long nowMicros) {
    PrefixForecast forecast = gate.forecast(offer.keys(), nowMicros);
    return hasStore ? transfers.withImport(forecast, offer, prefillMicrosPerBlock) : forecast;
  }

  @Override
  public boolean wouldEvictUsed(List<BlockKey> chain, long nowMicros) {
    return gate.wouldEvictUsed(chain, nowMicros);
  }

  @Override
  public boolean isAwaited(List<BlockKey> chain, long nowMicros) {
    return gate.isAwaited(chain, nowMicros);
  }

  @Override
  public boolean hasFetchedFor(
      PeerMessage.Offer offer, long prefillMicrosPerBlock, long nowMicros) {
    return hasStore && transfers.hasImportedFor(offer, prefillMicrosPerBlock, nowMicros);
  }

  @Override
  public void onStarted(AttemptId run, List<BlockKey> chain, long expectedMicros, long nowMicros) {
    gate.onStarted(run, chain, expectedMicros, nowMicros);
  }

  @Override
  public void onComputed(AttemptId run, long nowMicros) {
    gate.onComputed(run, nowMicros);
  }

  @Override
  public void onRunEnded(AttemptId run) {
    gate.end(run);
  }

  /**
   * Counts the demand of a request that was submitted.
   *
   * @param offer offer of the request
   * @param maximumRunning slots of the engine
   * @param streamMicros mean time of an answer, in microseconds
   * @param nowMicros time of the submission
   */
  public void onSubmitted(
      PeerMessage.Offer offer, int maximumRunning, long streamMicros, long nowMicros) {
    engineSecondsPerRequest = streamMicros / MICROS_PER_SECOND / Math.max(1, maximumRunning);
    boolean isPriority = offer.priority() == PriorityClass.PRIORITY;
    for (BlockPrefix prefix : prefixesOf(offer)) {
      demand.record(prefix, isPriority, nowMicros);
      if (offer.rank() == 0) {
        raise(prefix.key(), nowMicros);
      }
    }
  }

  /** Returns whether the store is known to have had the last block of a prefix. */
  public boolean isStored(List<BlockKey> keys) {
    return transfers.isStored(keys.get(keys.size() - 1));
  }

  /**
   * Exports a prefix that is cached here, unless the store has it.
   *
   * @return whether every engine can import it now, or there is no store
   */
  public boolean hasExported(CacheIdentity identity, List<BlockKey> keys, long nowMicros) {
    if (!hasStore || isStored(keys)) {
      return true;
    }
    transfers.considerExport(new BlockPrefix(identity, keys, keys.size()), nowMicros);
    return false;
  }

  /** Takes the end of a transfer. */
  public void onTransferEnded(SidecarEvent.TransferEnded event, long nowMicros) {
    transfers.onEnded(event, nowMicros);
  }

  /** Forgets what the engine had: it has started anew. */
  public void onIncarnation() {
    gate.onIncarnation();
    transfers.onIncarnation();
  }

  /** Reviews spreads and exports what is hot. */
  public void onTick(long nowMicros) {
    gate.onTick(nowMicros);
    transfers.onTick(nowMicros);
    if (nowMicros < nextReviewMicros) {
      return;
    }
    nextReviewMicros = nowMicros + REVIEW_INTERVAL_MICROS;
    spreads.spreadKeys().forEach(key -> lower(key, nowMicros));
    if (hasStore) {
      demand.worthKeeping().forEach(prefix -> transfers.considerExport(prefix, nowMicros));
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

  /** Raises a spread where its share is high, and expects the demand here to halve. */
  private void raise(BlockKey key, long nowMicros) {
    if (spreads.hasRaised(key, share(key, nowMicros), nowMicros)) {
      demand.scale(key, 0.5);
    }
  }

  /** Lowers a spread where its share is low, and expects the demand here to double. */
  private void lower(BlockKey key, long nowMicros) {
    if (spreads.hasLowered(key, share(key, nowMicros), nowMicros)) {
      demand.scale(key, 2);
    }
  }

  private double share(BlockKey key, long nowMicros) {
    return demand.ratePerSecond(key, nowMicros) * engineSecondsPerRequest;
  }
}
