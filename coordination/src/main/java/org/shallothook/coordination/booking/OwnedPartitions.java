package org.shallothook.coordination.booking;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.shallothook.coordination.message.PeerMessage;
import org.shallothook.coordination.port.Counters;
import org.shallothook.coordination.port.Outbox;
import org.shallothook.state.log.LogPage;

/**
 * The partitions of the claims that this sidecar serves: those that it owns, if they must be
 * rewritten, and those for which it received requests recently.
 *
 * <p>Invariant: serves every request, whether or not this sidecar owns the partition, because the
 * log decides which claim wins. Not thread-safe.
 */
final class OwnedPartitions {
  /** Time without requests after which a partition is dropped from memory, in microseconds. */
  private static final long IDLE_TIMEOUT_MICROS = 120_000_000;

  /** Interval between two updates of the set of partitions served, in microseconds. */
  private static final long UPDATE_INTERVAL_MICROS = 10_000_000;

  private final String self;
  private final Outbox outbox;
  private final ClaimOptions options;
  private final Counters counters;
  private final ClaimReplySender replySender;
  private final ClaimPartitions partitions;
  private final Map<String, PartitionOwner> owners = new LinkedHashMap<>();
  private long nextUpdateMicros;

  OwnedPartitions(
      String self,
      Outbox outbox,
      ClaimOptions options,
      Counters counters,
      ClaimReplySender replySender,
      ClaimPartitions partitions) {
    this.self = self;
    this.outbox = outbox;
    this.options = options;
    this.counters = counters;
    this.replySender = replySender;
    this.partitions = partitions;
  }

  void onClaim(String requester, PeerMessage.ClaimRequest request, long nowMicros) {
    ownerOf(partitions.streamOf(request.scope())).onClaim(requester, request, nowMicros);
  }

  void onEnded(String requester, PeerMessage.ClaimEnded ended, long nowMicros) {
    ownerOf(partitions.streamOf(ended.scope())).onEnded(requester, ended, nowMicros);
  }

  void onRead(LogPage page, long nowMicros) {
    PartitionOwner owner = owners.get(page.stream());
    if (owner != null) {
      owner.onRead(page, nowMicros);
    }
  }

  void onReadFailed(String stream, long nowMicros) {
    PartitionOwner owner = owners.get(stream);
    if (owner != null) {
      owner.onReadFailed(nowMicros);
    }
  }

  void onAppended(long token, long nowMicros) {
    for (PartitionOwner owner : List.copyOf(owners.values())) {
      if (owner.onAppended(token, nowMicros)) {
        return;
      }
    }
  }

  void onAppendFailed(long token, boolean mayHaveTakenEffect, long nowMicros) {
    for (PartitionOwner owner : List.copyOf(owners.values())) {
      if (owner.onAppendFailed(token, mayHaveTakenEffect, nowMicros)) {
        return;
      }
    }
  }

  void onTick(long nowMicros) {
    if (nowMicros >= nextUpdateMicros) {
      nextUpdateMicros = nowMicros + UPDATE_INTERVAL_MICROS;
      updateOwners(nowMicros);
    }
    List.copyOf(owners.values()).forEach(owner -> owner.onTick(nowMicros));
  }

  /** Returns the number of scopes loaded, over all partitions served. */
  int scopeCount() {
    return owners.values().stream().mapToInt(PartitionOwner::scopeCount).sum();
  }

  /** Loads the owned partitions that must be rewritten, and drops the idle ones. */
  private void updateOwners(long nowMicros) {
    List<String> toRewrite = options.needsRewriting() ? partitions.ownedBy(self) : List.of();
    toRewrite.forEach(this::ownerOf);
    owners
        .entrySet()
        .removeIf(
            entry ->
                !toRewrite.contains(entry.getKey())
                    && entry.getValue().isIdleSince(nowMicros - IDLE_TIMEOUT_MICROS));
  }

  private PartitionOwner ownerOf(String stream) {
    return owners.computeIfAbsent(
        stream, name -> new PartitionOwner(name, outbox, options, counters, replySender));
  }
}
