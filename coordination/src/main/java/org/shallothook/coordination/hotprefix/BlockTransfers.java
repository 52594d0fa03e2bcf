package org.shallothook.coordination.hotprefix;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.shallothook.coordination.port.Counters;
import org.shallothook.coordination.sidecar.SidecarCommand;
import org.shallothook.coordination.sidecar.SidecarEvent;
import org.shallothook.coordination.sidecar.SidecarOptions;
import org.shallothook.coordination.sidecar.SidecarOutbox;
import org.shallothook.state.cache.BlockKey;
import org.shallothook.state.cache.CacheIdentity;

/**
 * Transfers of blocks between the engine and the cache store.
 *
 * <p>Blocks are imported where that is cheaper than computing them and they are likely to be in the
 * store: another upstream is the prompt's home, or this one has exported them. Hot prefixes are
 * exported once.
 *
 * <p>Invariants: a transfer carries the whole identity; only keys that were asked for are taken as
 * imported; transfers of an earlier incarnation of the engine change nothing. Not thread-safe: used
 * on the decision thread.
 */
final class BlockTransfers {
  private static final int MINIMUM_BLOCKS = 2;
  private static final int MAXIMUM_IMPORTS = 4;
  private static final int MAXIMUM_KNOWN_KEYS = 8_192;
  private static final long ABSENT_MICROS = 2_000_000;
  private static final long TIMEOUT_MICROS = 2_000_000;

  private record Transfer(List<BlockKey> keys, boolean isImport, long deadlineMicros) {}

  private final SidecarOptions options;
  private final SidecarOutbox outbox;
  private final Counters counters;
  private final PrefixGate gate;
  private final Map<Long, Transfer> open = new LinkedHashMap<>();
  private final Set<BlockKey> stored = new LinkedHashSet<>();
  private final Map<BlockKey, Long> absentUntil = new LinkedHashMap<>();

  BlockTransfers(SidecarOptions options, SidecarOutbox outbox, Counters counters, PrefixGate gate) {
    this.options = options;
    this.outbox = outbox;
    this.counters = counters;
    this.gate = gate;
  }

  /** Imports the missing blocks of a chain if that is worth it. */
  void considerImport(
      CacheIdentity identity,
      List<BlockKey> chain,
      boolean isHome,
      long prefillMicrosPerBlock,
      long nowMicros) {
    int matched = gate.matchedBlocks(chain);
    int missing = chain.size() - matched;
    boolean isWorthIt =
        missing >= MINIMUM_BLOCKS
            && options.transferMicrosPerBlock() < prefillMicrosPerBlock
            && openImports() < MAXIMUM_IMPORTS;
    if (!isWorthIt || gate.isAwaited(chain, nowMicros)) {
      return;
    }
    BlockKey next = chain.get(matched);
    if (stored.contains(next) || (!isHome && !absentUntil.containsKey(next))) {
      List<BlockKey> wanted = List.copyOf(chain.subList(matched, chain.size()));
      long token = start(identity, wanted, true, nowMicros);
      gate.begin(token, chain, missing * options.transferMicrosPerBlock(), nowMicros);
    }
  }

  /** Exports the blocks of a prefix that the store is not known to have. */
  void considerExport(Prefix prefix, long nowMicros) {
    List<BlockKey> keys = new ArrayList<>(prefix.keys());
    keys.removeIf(stored::contains);
    boolean isExporting = open.values().stream().anyMatch(transfer -> !transfer.isImport());
    if (keys.isEmpty() || isExporting || gate.matchedBlocks(prefix.keys()) < prefix.depth()) {
      return;
    }
    start(prefix.identity(), keys, false, nowMicros);
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
    BlockKey first = transfer.keys().get(0);
    if (!keys.contains(first)) {
      stored.remove(first);
      absentUntil.put(first, nowMicros + ABSENT_MICROS);
      counters.increment("transfers.import-missed");
    }
  }

  private long start(
      CacheIdentity identity, List<BlockKey> keys, boolean isImport, long nowMicros) {
    long token = outbox.nextToken();
    open.put(token, new Transfer(keys, isImport, nowMicros + TIMEOUT_MICROS));
    outbox.command(new SidecarCommand.TransferBlocks(token, identity, keys, isImport));
    return token;
  }

  private long openImports() {
    return open.values().stream().filter(Transfer::isImport).count();
  }

  private void noteStored(BlockKey key) {
    if (stored.size() >= MAXIMUM_KNOWN_KEYS) {
      stored.remove(stored.iterator().next());
    }
    stored.add(key);
  }
}
