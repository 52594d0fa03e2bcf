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
 * <p>Blocks are imported where that is cheaper than computing them and they are likely to be in the
 * store: another upstream is the prompt's home, this one has exported them, the request is priority
 * work, or much is missing. Shared prefixes, and those of priority work, are exported once.
 *
 * <p>Invariants: a transfer carries the whole identity; only keys that were asked for are taken as
 * imported; transfers of an earlier incarnation of the engine change nothing. Not thread-safe: used
 * on the decision thread.
 */
final class BlockTransfers {
  private static final int MINIMUM_BLOCKS = 2;
  private static final double WEIGHT_OF_LATEST = 0.1;
  private static final double WEIGHT_OF_SETTING = 0.01;
  private static final int MAXIMUM_IMPORTS = 4;
  private static final int MAXIMUM_KNOWN_KEYS = 8_192;
  private static final long ABSENT_MICROS = 2_000_000;
  private static final long TIMEOUT_MICROS = 2_000_000;

  private record Transfer(
      List<BlockKey> keys, boolean isImport, long startedMicros, long deadlineMicros) {}

  private final SidecarOutbox outbox;
  private final Counters counters;
  private final PrefixGate gate;
  private final Map<Long, Transfer> open = new LinkedHashMap<>();
  private final Set<BlockKey> stored = new LinkedHashSet<>();
  private final Map<BlockKey, Long> absentUntil = new LinkedHashMap<>();
  private final double expectedMicrosPerBlock;
  private double microsPerBlock;

  BlockTransfers(SidecarOptions options, SidecarOutbox outbox, Counters counters, PrefixGate gate) {
    this.expectedMicrosPerBlock = options.transferMicrosPerBlock();
    this.microsPerBlock = options.transferMicrosPerBlock();
    this.outbox = outbox;
    this.counters = counters;
    this.gate = gate;
  }

  /**
   * Imports the missing blocks of a request that is about to run, if that is worth it.
   *
   * @return whether an import was begun
   */
  boolean hasImportedFor(PeerMessage.Offer offer, long prefillMicrosPerBlock, long nowMicros) {
    List<BlockKey> chain = offer.keys();
    int matched = gate.matchedBlocks(chain);
    int missing = chain.size() - matched;
    boolean isWorthIt =
        missing >= MINIMUM_BLOCKS
            && isCheaperThan(prefillMicrosPerBlock)
            && openImports() < MAXIMUM_IMPORTS;
    if (!isWorthIt
        || gate.isAwaited(chain, nowMicros)
        || isBeingImported(chain.get(matched))
        || !isLikelyStored(offer, chain.get(matched), missing)) {
      return false;
    }
    List<BlockKey> wanted = List.copyOf(chain.subList(matched, chain.size()));
    long token = start(offer.identity(), wanted, true, nowMicros);
    gate.begin(token, chain, (long) (missing * microsPerBlock), nowMicros);
    return true;
  }

  /** Returns a forecast that counts what an import would bring, and when. */
  PrefixForecast withImport(
      PrefixForecast forecast, PeerMessage.Offer offer, long prefillMicrosPerBlock) {
    List<BlockKey> chain = offer.keys();
    int missing = chain.size() - forecast.blocks();
    boolean isImported =
        missing >= PrefixGate.MANY_BLOCKS
            && microsPerBlock < prefillMicrosPerBlock
            && isLikelyStored(offer, chain.get(forecast.blocks()), missing);
    if (!isImported) {
      return forecast;
    }
    long importMicros = (long) (missing * microsPerBlock);
    return new PrefixForecast(chain.size(), forecast.waitMicros() + importMicros);
  }

  /** Returns whether an open import, which may be late, was asked for the block. */
  private boolean isBeingImported(BlockKey key) {
    return open.values().stream()
        .anyMatch(transfer -> transfer.isImport() && transfer.keys().contains(key));
  }

  /** Forgets a slow transfer little by little, so that it is tried again some time. */
  private boolean isCheaperThan(long prefillMicrosPerBlock) {
    if (microsPerBlock < prefillMicrosPerBlock) {
      return true;
    }
    microsPerBlock += WEIGHT_OF_SETTING * (expectedMicrosPerBlock - microsPerBlock);
    return false;
  }

  private boolean isLikelyStored(PeerMessage.Offer offer, BlockKey next, int missing) {
    if (stored.contains(next)) {
      return true;
    }
    boolean mayBe =
        offer.rank() > 0
            || offer.priority() == PriorityClass.PRIORITY
            || missing >= PrefixGate.MANY_BLOCKS;
    return mayBe && !absentUntil.containsKey(next);
  }

  /** Exports the blocks of a prefix that the store is not known to have. */
  void considerExport(BlockPrefix prefix, long nowMicros) {
    boolean isExporting = open.values().stream().anyMatch(transfer -> !transfer.isImport());
    if (isExporting
        || stored.contains(prefix.key())
        || gate.matchedBlocks(prefix.keys()) < prefix.depth()) {
      return;
    }
    List<BlockKey> keys = new ArrayList<>(prefix.keys());
    keys.removeIf(stored::contains);
    start(prefix.identity(), keys, false, nowMicros);
  }

  /** Returns whether the store is known to have had the block. */
  boolean isStored(BlockKey key) {
    return stored.contains(key);
  }

  /** Takes the end of a transfer. */
  void onEnded(SidecarEvent.TransferEnded event, long nowMicros) {
    Transfer transfer = open.remove(event.token());
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
    keys.forEach(this::noteStored);
  }

  /** Forgets open transfers: the engine has started anew. */
  void onIncarnation() {
    open.clear();
  }

  /** Gives up transfers that take too long. */
  void onTick(long nowMicros) {
    absentUntil.values().removeIf(until -> until <= nowMicros);
    for (Map.Entry<Long, Transfer> entry : List.copyOf(open.entrySet())) {
      if (entry.getValue().deadlineMicros() <= nowMicros) {
        counters.increment("transfers.timeouts");
        onEnded(new SidecarEvent.TransferEnded(entry.getKey(), List.of()), nowMicros);
      }
    }
  }

  private void finishImport(long token, Transfer transfer, List<BlockKey> keys, long nowMicros) {
    gate.end(token);
    gate.noteAvailable(keys, nowMicros);
    counters.add("transfers.imported-blocks", keys.size());
    learnTime(transfer, keys.size(), nowMicros);
    if (keys.isEmpty()) {
      counters.increment("transfers.import-missed");
    }
    if (keys.size() < transfer.keys().size()) {
      noteAbsent(transfer.keys().get(keys.size()), nowMicros);
    }
  }

  private void learnTime(Transfer transfer, int blocks, long nowMicros) {
    if (blocks > 0) {
      double latest = (double) (nowMicros - transfer.startedMicros()) / blocks;
      microsPerBlock += WEIGHT_OF_LATEST * (latest - microsPerBlock);
    }
  }

  private long start(
      CacheIdentity identity, List<BlockKey> keys, boolean isImport, long nowMicros) {
    long token = outbox.nextToken();
    open.put(token, new Transfer(keys, isImport, nowMicros, nowMicros + TIMEOUT_MICROS));
    outbox.command(new SidecarCommand.TransferBlocks(token, identity, keys, isImport));
    return token;
  }

  private long openImports() {
    return open.values().stream().filter(Transfer::isImport).count();
  }

  /** Remembers for a time what the store did not have, so that it is computed. */
  private void noteAbsent(BlockKey key, long nowMicros) {
    stored.remove(key);
    absentUntil.put(key, nowMicros + ABSENT_MICROS);
  }

  private void noteStored(BlockKey key) {
    if (stored.size() >= MAXIMUM_KNOWN_KEYS) {
      stored.remove(stored.iterator().next());
    }
    stored.add(key);
  }
}
