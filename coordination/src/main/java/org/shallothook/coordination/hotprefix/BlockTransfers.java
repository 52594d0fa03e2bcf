package org.shallothook.coordination.hotprefix;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.shallothook.coordination.admission.PrefixForecast;
import org.shallothook.coordination.message.PeerMessage;
import org.shallothook.coordination.port.Counters;
import org.shallothook.coordination.sidecar.SidecarCommand;
import org.shallothook.coordination.sidecar.SidecarEvent;
import org.shallothook.coordination.sidecar.SidecarOptions;
import org.shallothook.coordination.sidecar.SidecarOutbox;
import org.shallothook.state.cache.BlockKey;
import org.shallothook.state.cache.CacheIdentity;
import org.shallothook.state.configuration.PriorityClass;

/**
 * Transfers of blocks between the engine and the cache store.
 *
 * <p>Blocks are imported if that is cheaper than computing them and the store probably has them:
 * another upstream is the prompt's home upstream, this one has exported or imported them, the
 * request is priority work, or many blocks are missing. Shared prefixes, and those of priority
 * work, are exported once.
 *
 * <p>Invariants: a transfer carries the whole identity; only requested keys are recorded as
 * imported; transfers of an earlier incarnation of the engine have no effect. Not thread-safe: used
 * on the decision thread.
 */
final class BlockTransfers {
  private static final int MINIMUM_IMPORT_BLOCKS = 2;
  private static final double SMOOTHING_FACTOR = 0.1;
  private static final double RESET_FACTOR = 0.01;
  private static final int MAXIMUM_CONCURRENT_IMPORTS = 4;
  private static final int MAXIMUM_STORED_KEYS = 8_192;
  private static final long NEGATIVE_CACHE_MICROS = 2_000_000;
  private static final long TRANSFER_TIMEOUT_MICROS = 2_000_000;

  private record Transfer(
      List<BlockKey> keys, boolean isImport, long startedMicros, long deadlineMicros) {}

  private final SidecarOutbox outbox;
  private final Counters counters;
  private final PrefixTracker tracker;
  private final Map<Long, Transfer> openTransfers = new LinkedHashMap<>();
  private final Set<BlockKey> storedKeys = new LinkedHashSet<>();
  private final Map<BlockKey, Long> absentUntil = new LinkedHashMap<>();
  private final double configuredMicrosPerBlock;
  private double microsPerBlock;

  BlockTransfers(
      SidecarOptions options, SidecarOutbox outbox, Counters counters, PrefixTracker tracker) {
    this.configuredMicrosPerBlock = options.transferMicrosPerBlock();
    this.microsPerBlock = options.transferMicrosPerBlock();
    this.outbox = outbox;
    this.counters = counters;
    this.tracker = tracker;
  }

  /**
   * Starts an import of the missing blocks of a request that is about to run, if it should save
   * time.
   *
   * @return whether an import was started
   */
  boolean hasStartedImport(PeerMessage.Offer offer, long prefillMicrosPerBlock, long nowMicros) {
    List<BlockKey> chain = offer.keys();
    int matched = tracker.matchedBlocks(chain);
    int missing = chain.size() - matched;
    boolean isWorthwhile =
        missing >= MINIMUM_IMPORT_BLOCKS
            && isCheaperThanPrefill(prefillMicrosPerBlock)
            && openImports() < MAXIMUM_CONCURRENT_IMPORTS;
    if (!isWorthwhile
        || tracker.isNextBlockPending(chain, nowMicros)
        || isBeingImported(chain.get(matched))
        || !isLikelyStored(offer, chain.get(matched), missing)) {
      return false;
    }
    List<BlockKey> missingKeys = List.copyOf(chain.subList(matched, chain.size()));
    long token = start(offer.identity(), missingKeys, true, nowMicros);
    tracker.addPending(token, chain, (long) (missing * microsPerBlock), nowMicros);
    return true;
  }

  /** Returns a forecast that includes the blocks that an import would add, and its duration. */
  PrefixForecast withImport(
      PrefixForecast forecast, PeerMessage.Offer offer, long prefillMicrosPerBlock) {
    List<BlockKey> chain = offer.keys();
    int missing = chain.size() - forecast.blocks();
    boolean isImported =
        missing >= PrefixTracker.COLD_PREFIX_BLOCKS
            && microsPerBlock < prefillMicrosPerBlock
            && isLikelyStored(offer, chain.get(forecast.blocks()), missing);
    if (!isImported) {
      return forecast;
    }
    long importMicros = (long) (missing * microsPerBlock);
    return new PrefixForecast(chain.size(), forecast.waitMicros() + importMicros);
  }

  /** Returns whether an open import includes the block, even if requests no longer wait for it. */
  private boolean isBeingImported(BlockKey key) {
    return openTransfers.values().stream()
        .anyMatch(transfer -> transfer.isImport() && transfer.keys().contains(key));
  }

  /**
   * Moves a slow measured time gradually back to the configured one, so that an import is
   * eventually tried again.
   */
  private boolean isCheaperThanPrefill(long prefillMicrosPerBlock) {
    if (microsPerBlock < prefillMicrosPerBlock) {
      return true;
    }
    microsPerBlock += RESET_FACTOR * (configuredMicrosPerBlock - microsPerBlock);
    return false;
  }

  private boolean isLikelyStored(PeerMessage.Offer offer, BlockKey next, int missing) {
    if (storedKeys.contains(next)) {
      return true;
    }
    boolean mayBeStored =
        offer.rank() > 0
            || offer.priority() == PriorityClass.PRIORITY
            || missing >= PrefixTracker.COLD_PREFIX_BLOCKS;
    return mayBeStored && !absentUntil.containsKey(next);
  }

  /**
   * Exports the blocks of a cached prefix that are not known to be stored, unless an export is
   * open.
   */
  void exportIfMissing(BlockPrefix prefix, long nowMicros) {
    boolean isExporting =
        openTransfers.values().stream().anyMatch(transfer -> !transfer.isImport());
    if (isExporting
        || storedKeys.contains(prefix.key())
        || tracker.matchedBlocks(prefix.keys()) < prefix.depth()) {
      return;
    }
    List<BlockKey> keys = new ArrayList<>(prefix.keys());
    keys.removeIf(storedKeys::contains);
    start(prefix.identity(), keys, false, nowMicros);
  }

  /** Returns whether the store is known to have had the block, which it may have evicted since. */
  boolean isStored(BlockKey key) {
    return storedKeys.contains(key);
  }

  /** Records the end of a transfer. */
  void onEnded(SidecarEvent.TransferEnded event, long nowMicros) {
    Transfer transfer = openTransfers.remove(event.token());
    if (transfer == null) {
      counters.increment("transfers.late-ends");
      return;
    }
    Set<BlockKey> transferred = new HashSet<>(event.keys());
    List<BlockKey> keys = transfer.keys().stream().filter(transferred::contains).toList();
    if (transfer.isImport()) {
      finishImport(event.token(), transfer, keys, nowMicros);
    } else {
      counters.add("transfers.exported-blocks", keys.size());
    }
    keys.forEach(this::recordStored);
  }

  /** Discards open transfers, because the engine has restarted. */
  void onIncarnation() {
    openTransfers.clear();
  }

  /** Ends transfers that have timed out. */
  void onTick(long nowMicros) {
    absentUntil.values().removeIf(until -> until <= nowMicros);
    for (Map.Entry<Long, Transfer> entry : List.copyOf(openTransfers.entrySet())) {
      if (entry.getValue().deadlineMicros() <= nowMicros) {
        counters.increment("transfers.timeouts");
        onEnded(new SidecarEvent.TransferEnded(entry.getKey(), List.of()), nowMicros);
      }
    }
  }

  private void finishImport(long token, Transfer transfer, List<BlockKey> keys, long nowMicros) {
    tracker.removePending(token);
    tracker.recordCached(keys, nowMicros);
    counters.add("transfers.imported-blocks", keys.size());
    updateTransferTime(transfer, keys.size(), nowMicros);
    if (keys.isEmpty()) {
      counters.increment("transfers.import-missed");
    }
    if (keys.size() < transfer.keys().size()) {
      recordAbsent(transfer.keys().get(keys.size()), nowMicros);
    }
  }

  private void updateTransferTime(Transfer transfer, int blocks, long nowMicros) {
    if (blocks > 0) {
      double latest = (double) (nowMicros - transfer.startedMicros()) / blocks;
      microsPerBlock += SMOOTHING_FACTOR * (latest - microsPerBlock);
    }
  }

  private long start(
      CacheIdentity identity, List<BlockKey> keys, boolean isImport, long nowMicros) {
    long token = outbox.nextToken();
    openTransfers.put(
        token, new Transfer(keys, isImport, nowMicros, nowMicros + TRANSFER_TIMEOUT_MICROS));
    outbox.command(new SidecarCommand.TransferBlocks(token, identity, keys, isImport));
    return token;
  }

  private long openImports() {
    return openTransfers.values().stream().filter(Transfer::isImport).count();
  }

  /** Records for a limited time that the store lacks a block, so that it is computed instead. */
  private void recordAbsent(BlockKey key, long nowMicros) {
    storedKeys.remove(key);
    absentUntil.put(key, nowMicros + NEGATIVE_CACHE_MICROS);
  }

  private void recordStored(BlockKey key) {
    if (storedKeys.size() >= MAXIMUM_STORED_KEYS) {
      storedKeys.remove(storedKeys.iterator().next());
    }
    storedKeys.add(key);
  }
}
