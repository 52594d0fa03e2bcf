package org.shallothook.coordination.hotprefix;

import org.shallothook.coordination.admission.PrefixSpread;
import org.shallothook.coordination.engine.CacheFollower;
import org.shallothook.coordination.message.PeerMessage;
import org.shallothook.coordination.port.Counters;
import org.shallothook.coordination.sidecar.SidecarEvent;
import org.shallothook.coordination.sidecar.SidecarOptions;
import org.shallothook.coordination.sidecar.SidecarOutbox;
import org.shallothook.state.cache.BlockKey;

/**
 * Follows the demand for prefixes at this engine, and acts on those that are hot.
 *
 * <p>Only the home of a prompt (rendezvous rank 0) states a spread, because only its share of the
 * demand is known to be that of one rank.
 *
 * <p>Not thread-safe: used on the decision thread.
 */
public final class HotPrefixes {
  private static final int MAXIMUM_PREFIXES = 256;
  private static final double EXPORT_RATE_PER_SECOND = 1.5;
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

  /** Returns the gate that lets a missing prefix be computed once. */
  public PrefixGate gate() {
    return gate;
  }

  /** Sets whether there is a cache store to transfer blocks to and from. */
  public void setStore(boolean isPresent) {
    hasStore = isPresent;
  }

  /** Returns the spread of the offer's widest hot prefix. */
  public PrefixSpread spread(PeerMessage.Offer offer) {
    PrefixSpread widest = PrefixSpread.UNSPECIFIED;
    if (offer.rank() > 0) {
      return widest;
    }
    for (Prefix prefix : Prefix.of(offer.identity(), offer.keys())) {
      int ranks = spreads.ranks(prefix.key());
      if (ranks > 1 && ranks >= widest.ranks()) {
        widest = new PrefixSpread(ranks, prefix.depth());
      }
    }
    return widest;
  }

  /** Fetches what an accepted offer misses, where that is worth it. */
  public void onAccepted(PeerMessage.Offer offer, long prefillMicrosPerBlock, long nowMicros) {
    if (hasStore) {
      transfers.considerImport(
          offer.identity(), offer.keys(), offer.rank() == 0, prefillMicrosPerBlock, nowMicros);
    }
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
    for (Prefix prefix : Prefix.of(offer.identity(), offer.keys())) {
      demand.record(prefix, nowMicros);
      if (offer.rank() == 0) {
        judge(prefix.key(), nowMicros);
      }
    }
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
    spreads.spreadKeys().forEach(key -> judge(key, nowMicros));
    if (hasStore) {
      demand
          .wantedAtLeast(EXPORT_RATE_PER_SECOND, nowMicros)
          .forEach(prefix -> transfers.considerExport(prefix, nowMicros));
    }
  }

  private void judge(BlockKey key, long nowMicros) {
    double share = demand.ratePerSecond(key, nowMicros) * engineSecondsPerRequest;
    spreads.judge(key, share, nowMicros);
  }
}
