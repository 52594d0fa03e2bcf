package org.shallothook.coordination.booking;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import org.shallothook.coordination.message.PeerMessage;
import org.shallothook.state.booking.ServiceOutcome;

/**
 * Ends of claims that are not known to be in the log yet, sent again until they are.
 *
 * <p>Not thread-safe.
 */
final class ClaimEnds {
  private static final long REPEAT_MICROS = 1_500_000;

  /** Time after which an end is no longer sent, in microseconds. */
  private static final long PATIENCE_MICROS = 60_000_000;

  private final BiConsumer<PeerMessage.ClaimEnded, Integer> sender;
  private final Map<String, Open> open = new LinkedHashMap<>();

  private static final class Open {
    private final PeerMessage.ClaimEnded message;
    private final long giveUpMicros;
    private long nextSendMicros;
    private int sent;

    private Open(PeerMessage.ClaimEnded message, long giveUpMicros) {
      this.message = message;
      this.giveUpMicros = giveUpMicros;
    }
  }

  /**
   * Creates an empty set.
   *
   * @param sender sends an end to the keeper; the number counts earlier sendings
   */
  ClaimEnds(BiConsumer<PeerMessage.ClaimEnded, Integer> sender) {
    this.sender = sender;
  }

  boolean isEmpty() {
    return open.isEmpty();
  }

  void add(String scope, String claim, Optional<ServiceOutcome> outcome, long nowMicros) {
    open.put(
        claim,
        new Open(new PeerMessage.ClaimEnded(scope, claim, outcome), nowMicros + PATIENCE_MICROS));
    onTick(nowMicros);
  }

  void onRecorded(String claim) {
    open.remove(claim);
  }

  void onTick(long nowMicros) {
    open.values().removeIf(end -> nowMicros >= end.giveUpMicros);
    for (Open end : List.copyOf(open.values())) {
      if (nowMicros >= end.nextSendMicros) {
        end.nextSendMicros = nowMicros + REPEAT_MICROS;
        sender.accept(end.message, end.sent++);
      }
    }
  }
}
