package org.shallothook.coordination.admission;

import java.util.Optional;
import org.shallothook.coordination.message.PeerMessage;
import org.shallothook.coordination.port.Counters;
import org.shallothook.coordination.sidecar.SidecarCommand;
import org.shallothook.coordination.sidecar.SidecarEvent;
import org.shallothook.coordination.sidecar.SidecarOptions;
import org.shallothook.coordination.sidecar.SidecarOutbox;
import org.shallothook.state.request.RefusalReason;

/**
 * Relays responses of the engine to the routers, in order and without gaps.
 *
 * <p>Reading from the engine is paused for a caller that does not consume its tokens.
 *
 * <p>Invariants: positions sent for an attempt are consecutive across all its runs; events of ended
 * runs have no effect. Not thread-safe: used on the decision thread.
 */
final class StreamRelay {
  private static final int MAXIMUM_ENGINE_REFUSALS = 3;

  private final SidecarOptions options;
  private final SidecarOutbox outbox;
  private final Counters counters;
  private final AttemptTable table;
  private final ServiceEstimator estimator;
  private final PrefixAvailability prefixes;
  private final AttemptTerminator terminator;
  private final CrashAttribution crashes;

  StreamRelay(
      SidecarOptions options,
      SidecarOutbox outbox,
      Counters counters,
      AttemptTable table,
      ServiceEstimator estimator,
      PrefixAvailability prefixes,
      AttemptTerminator terminator,
      CrashAttribution crashes) {
    this.options = options;
    this.outbox = outbox;
    this.counters = counters;
    this.table = table;
    this.estimator = estimator;
    this.prefixes = prefixes;
    this.terminator = terminator;
    this.crashes = crashes;
  }

  /**
   * Relays tokens to the router.
   *
   * @return whether they were relayed as the first tokens of their run
   */
  boolean onTokens(SidecarEvent.EngineTokens event, long nowMicros) {
    Optional<AdmittedAttempt> found = table.findRun(event.attempt());
    if (found.isEmpty()) {
      counters.increment("streams.late-frames");
      return false;
    }
    AdmittedAttempt attempt = found.get();
    if (event.position() + event.count() <= attempt.position()) {
      counters.increment("streams.repeated-frames");
      return false;
    }
    if (event.position() != attempt.position()) {
      failInconsistent(attempt, "The engine's tokens are not consecutive.", nowMicros);
      return false;
    }
    boolean isFirst = !attempt.hasTokenOfRun();
    deliver(attempt, event, nowMicros);
    return isFirst;
  }

  /** Completes an attempt whose run has ended. */
  void onEnded(SidecarEvent.EngineEnded event, long nowMicros) {
    Optional<AdmittedAttempt> found = table.findRun(event.attempt());
    if (found.isEmpty()) {
      counters.increment("streams.late-frames");
      return;
    }
    AdmittedAttempt attempt = found.get();
    if (event.position() != attempt.position()) {
      failInconsistent(
          attempt, "The engine's end position does not follow its last token.", nowMicros);
      return;
    }
    recordFirstToken(attempt, nowMicros);
    estimator.onEnded(attempt, nowMicros);
    terminator.complete(attempt, event.finishReason(), event.cachedBlocks(), nowMicros);
  }

  /**
   * Handles a run that the engine refused or whose stream broke.
   *
   * @return whether the engine's state must be read before dispatching more attempts
   */
  boolean onFailed(SidecarEvent.EngineFailed event, long nowMicros) {
    Optional<AdmittedAttempt> found = table.findRun(event.attempt());
    if (found.isEmpty()) {
      counters.increment("streams.late-frames");
      return false;
    }
    if (event.hasReachedEngine()) {
      crashes.onStreamBroken(found.get(), nowMicros);
    } else {
      requeueRefused(found.get(), event.detail(), nowMicros);
    }
    return true;
  }

  /** Records up to which position a caller has read its stream. */
  void onConsumed(PeerMessage.Consumed message) {
    table.find(message.attempt()).ifPresent(attempt -> consume(attempt, message.position()));
  }

  private void deliver(AdmittedAttempt attempt, SidecarEvent.EngineTokens event, long nowMicros) {
    recordFirstToken(attempt, nowMicros);
    attempt.deliver(event.count(), event.text());
    outbox.send(
        attempt.router(),
        new PeerMessage.Tokens(attempt.attempt(), event.position(), event.count(), event.text()));
    if (!attempt.isPaused() && attempt.unconsumed() >= options.streamWindowTokens()) {
      setPaused(attempt, true);
      counters.increment("streams.paused");
    }
  }

  private void recordFirstToken(AdmittedAttempt attempt, long nowMicros) {
    if (attempt.hasTokenOfRun()) {
      return;
    }
    estimator.onFirstToken(attempt, nowMicros);
    prefixes.onComputed(attempt.run(), nowMicros);
    attempt.record().recordToken(nowMicros);
  }

  private void consume(AdmittedAttempt attempt, int position) {
    attempt.consume(position);
    if (attempt.isPaused()
        && attempt.is(AdmittedAttempt.Stage.RUNNING)
        && attempt.unconsumed() <= options.streamWindowTokens() / 2) {
      setPaused(attempt, false);
    }
  }

  private void setPaused(AdmittedAttempt attempt, boolean isPaused) {
    attempt.setPaused(isPaused);
    outbox.command(new SidecarCommand.PauseAnswer(attempt.run(), isPaused));
  }

  private void failInconsistent(AdmittedAttempt attempt, String detail, long nowMicros) {
    counters.increment("streams.broken");
    terminator.fail(attempt, RefusalReason.ENGINE_LOST, detail, 0, nowMicros);
  }

  private void requeueRefused(AdmittedAttempt attempt, String detail, long nowMicros) {
    counters.increment("engine.refused-run");
    prefixes.onRunEnded(attempt.run());
    table.requeueRefused(attempt);
    if (attempt.engineRefusals() >= MAXIMUM_ENGINE_REFUSALS) {
      terminator.fail(attempt, RefusalReason.ENGINE_LOST, detail, 0, nowMicros);
    }
  }
}
