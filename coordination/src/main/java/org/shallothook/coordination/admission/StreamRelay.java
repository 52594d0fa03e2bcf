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
 * Passes answers of the engine on to the routers, in order and without holes.
 *
 * <p>A caller that does not take its tokens has the reading of its answer paused.
 *
 * <p>Invariants: positions sent for an attempt are consecutive over all its runs; events of runs
 * that are over change nothing. Not thread-safe: used on the decision thread.
 */
final class StreamRelay {
  private static final int MAXIMUM_ENGINE_REFUSALS = 3;

  private final SidecarOptions options;
  private final SidecarOutbox outbox;
  private final Counters counters;
  private final AttemptTable table;
  private final ServiceEstimator estimator;
  private final PrefixSupply prefixes;
  private final AttemptEnds ends;
  private final CrashAttribution crashes;

  StreamRelay(
      SidecarOptions options,
      SidecarOutbox outbox,
      Counters counters,
      AttemptTable table,
      ServiceEstimator estimator,
      PrefixSupply prefixes,
      AttemptEnds ends,
      CrashAttribution crashes) {
    this.options = options;
    this.outbox = outbox;
    this.counters = counters;
    this.table = table;
    this.estimator = estimator;
    this.prefixes = prefixes;
    this.ends = ends;
    this.crashes = crashes;
  }

  /**
   * Passes tokens on.
   *
   * @return whether they were the first of their run
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
      breakOff(attempt, "The engine's tokens are not consecutive.", nowMicros);
      return false;
    }
    boolean isFirst = !attempt.hasTokenOfRun();
    deliver(attempt, event, nowMicros);
    return isFirst;
  }

  /** Ends an answer that is complete. */
  void onEnded(SidecarEvent.EngineEnded event, long nowMicros) {
    Optional<AdmittedAttempt> found = table.findRun(event.attempt());
    if (found.isEmpty()) {
      counters.increment("streams.late-frames");
      return;
    }
    AdmittedAttempt attempt = found.get();
    if (event.position() != attempt.position()) {
      breakOff(attempt, "The engine's end does not follow its last token.", nowMicros);
      return;
    }
    noteFirstToken(attempt, nowMicros);
    estimator.onEnded(attempt, nowMicros);
    ends.complete(attempt, event.finishReason(), event.cachedBlocks(), nowMicros);
  }

  /**
   * Takes the engine's refusal of a run, or its loss.
   *
   * @return whether the engine has to be asked for its state before more is dispatched
   */
  boolean onFailed(SidecarEvent.EngineFailed event, long nowMicros) {
    Optional<AdmittedAttempt> found = table.findRun(event.attempt());
    if (found.isEmpty()) {
      counters.increment("streams.late-frames");
      return false;
    }
    if (event.hasReachedEngine()) {
      crashes.onBroken(found.get(), nowMicros);
    } else {
      returnUntaken(found.get(), event.detail(), nowMicros);
    }
    return true;
  }

  /** Notes how far a caller has read. */
  void onConsumed(PeerMessage.Consumed message) {
    table.find(message.attempt()).ifPresent(attempt -> consume(attempt, message.position()));
  }

  private void deliver(AdmittedAttempt attempt, SidecarEvent.EngineTokens event, long nowMicros) {
    noteFirstToken(attempt, nowMicros);
    attempt.deliver(event.count(), event.text());
    outbox.send(
        attempt.router(),
        new PeerMessage.Tokens(attempt.attempt(), event.position(), event.count(), event.text()));
    if (!attempt.isPaused() && attempt.unconsumed() >= options.streamWindowTokens()) {
      setPaused(attempt, true);
      counters.increment("streams.paused");
    }
  }

  private void noteFirstToken(AdmittedAttempt attempt, long nowMicros) {
    if (attempt.hasTokenOfRun()) {
      return;
    }
    estimator.onFirstToken(attempt, nowMicros);
    prefixes.onComputed(attempt.run(), nowMicros);
    attempt.record().noteToken(nowMicros);
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

  private void breakOff(AdmittedAttempt attempt, String detail, long nowMicros) {
    counters.increment("streams.broken");
    ends.fail(attempt, RefusalReason.ENGINE_LOST, detail, 0, nowMicros);
  }

  private void returnUntaken(AdmittedAttempt attempt, String detail, long nowMicros) {
    counters.increment("engine.refused-run");
    prefixes.onRunEnded(attempt.run());
    table.returnUntaken(attempt);
    if (attempt.engineRefusals() >= MAXIMUM_ENGINE_REFUSALS) {
      ends.fail(attempt, RefusalReason.ENGINE_LOST, detail, 0, nowMicros);
    }
  }
}
