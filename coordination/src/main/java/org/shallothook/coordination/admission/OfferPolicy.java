package org.shallothook.coordination.admission;

import java.util.Optional;
import org.shallothook.coordination.engine.EngineMonitor;
import org.shallothook.coordination.message.PeerMessage;
import org.shallothook.coordination.sidecar.SidecarOptions;
import org.shallothook.state.membership.InstanceRole;
import org.shallothook.state.request.RefusalReason;

/**
 * Decides whether an offer is accepted or refused.
 *
 * <p>While no attempt is open, an offer is not refused because its estimated first token would miss
 * the deadline, so that a wrong estimate is corrected by new measurements.
 *
 * <p>Not thread-safe: used on the decision thread.
 */
final class OfferPolicy {
  private static final long NOT_READY_RETRY_MICROS = 500_000;

  private final SidecarOptions options;
  private final EngineMonitor engine;
  private final AttemptTable table;
  private final ServiceEstimator estimator;
  private final QuarantineList quarantine;

  OfferPolicy(
      SidecarOptions options,
      EngineMonitor engine,
      AttemptTable table,
      ServiceEstimator estimator,
      QuarantineList quarantine) {
    this.options = options;
    this.engine = engine;
    this.table = table;
    this.estimator = estimator;
    this.quarantine = quarantine;
  }

  /** Returns the reason to refuse the offer, or empty to accept it. */
  Optional<RefusalReason> refusal(
      PeerMessage.Offer offer, int matchedBlocks, long queueDelayMicros, long nowMicros) {
    if (options.role() != InstanceRole.MODEL_ENGINE || !engine.isReachable()) {
      return Optional.of(RefusalReason.NO_UPSTREAM);
    }
    if (!engine.ready().contains(offer.identity().modelVersion())) {
      return Optional.of(RefusalReason.WRONG_VERSION);
    }
    if (quarantine.contains(offer.fingerprint(), nowMicros)) {
      return Optional.of(RefusalReason.QUARANTINED);
    }
    if (offer.deadlineMicros() <= nowMicros) {
      return Optional.of(RefusalReason.DEADLINE_PASSED);
    }
    if (!table.isEmpty() && cannotMeetDeadline(offer, matchedBlocks, queueDelayMicros, nowMicros)) {
      return Optional.of(RefusalReason.DEADLINE_UNREACHABLE);
    }
    return Optional.empty();
  }

  /** Returns whether the queue of the offer's priority class is full. */
  boolean isQueueFull(PeerMessage.Offer offer) {
    return table.waitingOf(offer.priority()) >= options.maximumQueueLength();
  }

  /**
   * Returns the earliest sensible time to retry a refused offer, in microseconds since the epoch.
   */
  long retryAtMicros(
      RefusalReason reason,
      PeerMessage.Offer offer,
      int matchedBlocks,
      long queueDelayMicros,
      long nowMicros) {
    return switch (reason) {
      case QUEUE_FULL -> nowMicros + queueDelayMicros;
      case DEADLINE_UNREACHABLE ->
          nowMicros
              + Math.max(
                  1,
                  firstTokenMicros(offer, matchedBlocks, queueDelayMicros, nowMicros)
                      - offer.deadlineMicros());
      case WRONG_VERSION, NO_UPSTREAM -> nowMicros + NOT_READY_RETRY_MICROS;
      case QUARANTINED -> quarantine.untilMicros(offer.fingerprint());
      default -> nowMicros;
    };
  }

  private boolean cannotMeetDeadline(
      PeerMessage.Offer offer, int matchedBlocks, long queueDelayMicros, long nowMicros) {
    return firstTokenMicros(offer, matchedBlocks, queueDelayMicros, nowMicros)
        > offer.deadlineMicros();
  }

  private long firstTokenMicros(
      PeerMessage.Offer offer, int matchedBlocks, long queueDelayMicros, long nowMicros) {
    int units = ServiceEstimator.unitsFor(offer.keys().size(), matchedBlocks);
    return nowMicros + queueDelayMicros + estimator.prefillMicros(units);
  }
}
