package org.shallothook.coordination.booking;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import org.shallothook.coordination.message.PeerMessage;
import org.shallothook.state.booking.ServiceOutcome;

/**
 * Ends of claims that are not known to be in the log, each sent again until its record is confirmed
 * or it times out.
 *
 * <p>Not thread-safe.
 */
final class PendingClaimEnds {
  /** Interval between two sends of the same end, in microseconds. */
  private static final long RESEND_INTERVAL_MICROS = 1_500_000;

  /** Time after which an end is no longer sent, in microseconds. */
  private static final long TIMEOUT_MICROS = 60_000_000;

  private final BiConsumer<PeerMessage.ClaimEnded, Integer> sender;
  private final Map<String, PendingEnd> pending = new LinkedHashMap<>();

  /** The end of one claim, with the times of its next send and of its timeout. */
  private static final class PendingEnd {
    private final PeerMessage.ClaimEnded message;
    private final long giveUpMicros;
    private long nextSendMicros;
    private int timesSent;

    private PendingEnd(PeerMessage.ClaimEnded message, long giveUpMicros) {
      this.message = message;
      this.giveUpMicros = giveUpMicros;
    }
  }

  /**
   * Creates an empty set.
   *
   * @param sender sends an end to the owner of its partition, given how often it was sent before
   */
  PendingClaimEnds(BiConsumer<PeerMessage.ClaimEnded, Integer> sender) {
    this.sender = sender;
  }

  boolean isEmpty() {
    return pending.isEmpty();
  }

  /** Adds the end of a claim and sends it. An empty outcome releases the claim. */
  void add(String scope, String claim, Optional<ServiceOutcome> outcome, long nowMicros) {
    pending.put(
        claim,
        new PendingEnd(
            new PeerMessage.ClaimEnded(scope, claim, outcome), nowMicros + TIMEOUT_MICROS));
    onTick(nowMicros);
  }

  /** Removes the end of a claim, which has been read back from the log. */
  void onRecorded(String claim) {
    pending.remove(claim);
  }

  /** Removes the ends that timed out and sends those that are due. */
  void onTick(long nowMicros) {
    pending.values().removeIf(end -> nowMicros >= end.giveUpMicros);
    for (PendingEnd end : List.copyOf(pending.values())) {
      if (nowMicros >= end.nextSendMicros) {
        end.nextSendMicros = nowMicros + RESEND_INTERVAL_MICROS;
        sender.accept(end.message, end.timesSent++);
      }
    }
  }
}
