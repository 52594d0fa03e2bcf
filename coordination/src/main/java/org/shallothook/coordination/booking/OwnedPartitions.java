package org.shallothook.coordination.booking;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.shallothook.coordination.message.PeerMessage;
import org.shallothook.coordination.port.Counters;
import org.shallothook.coordination.port.Outbox;
import org.shallothook.state.log.LogPage;

/**
 * Partitions of the claims that this sidecar keeps now or was asked about lately.
 *
 * <p>Invariant: serves whoever asks, keeper or not, because the log decides. Not thread-safe.
 */
final class OwnedPartitions {
  /** Time without questions after which a partition is dropped from memory, in microseconds. */
  private static final long IDLE_MICROS = 120_000_000;

  private static final long REVIEW_INTERVAL_MICROS = 10_000_000;

  private final String self;
  private final Outbox outbox;
  private final ClaimOptions options;
  private final Counters counters;
  private final ClaimReplies replies;
  private final ClaimPartitions partitions;
  private final Map<String, PartitionOwner> owners = new LinkedHashMap<>();
  private long nextReviewMicros;

  OwnedPartitions(
      String self,
      Outbox outbox,
      ClaimOptions options,
      Counters counters,
      ClaimReplies replies,
      ClaimPartitions partitions) {
    this.self = self;
    this.outbox = outbox;
    this.options = options;
    this.counters = counters;
    this.replies = replies;
    this.partitions = partitions;
  }

  void onClaim(String asker, PeerMessage.ClaimRequest request, long nowMicros) {
    keeper(partitions.streamOf(request.scope())).onClaim(asker, request, nowMicros);
  }

  void onEnded(String asker, PeerMessage.ClaimEnded ended, long nowMicros) {
    keeper(partitions.streamOf(ended.scope())).onEnded(asker, ended, nowMicros);
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
    if (nowMicros >= nextReviewMicros) {
      nextReviewMicros = nowMicros + REVIEW_INTERVAL_MICROS;
      review(nowMicros);
    }
    List.copyOf(owners.values()).forEach(owner -> owner.onTick(nowMicros));
  }

  /** Returns the number of scopes remembered. */
  int scopes() {
    return owners.values().stream().mapToInt(PartitionOwner::scopes).sum();
  }

  private void review(long nowMicros) {
    List<String> carried = options.needsCarrying() ? partitions.keptBy(self) : List.of();
    carried.forEach(this::keeper);
    owners
        .entrySet()
        .removeIf(
            entry ->
                !carried.contains(entry.getKey())
                    && entry.getValue().isIdleSince(nowMicros - IDLE_MICROS));
  }

  private PartitionOwner keeper(String stream) {
    return owners.computeIfAbsent(
        stream, name -> new PartitionOwner(name, outbox, options, counters, replies));
  }
}
