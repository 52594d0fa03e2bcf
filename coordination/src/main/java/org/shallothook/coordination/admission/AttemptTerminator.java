package org.shallothook.coordination.admission;

import org.shallothook.coordination.message.CrashRole;
import org.shallothook.coordination.message.PeerMessage;
import org.shallothook.coordination.port.Counters;
import org.shallothook.coordination.sidecar.SidecarCommand;
import org.shallothook.coordination.sidecar.SidecarOutbox;
import org.shallothook.state.request.RefusalReason;

/**
 * Ends attempts: removes them from the table, notifies their routers, records and counts the end.
 *
 * <p>Invariant: an attempt is reported as not run only if none of its runs can have reached the
 * engine. Not thread-safe: used on the decision thread.
 */
final class AttemptTerminator {
  private final SidecarOutbox outbox;
  private final Counters counters;
  private final AttemptTable table;
  private final PrefixAvailability prefixes;

  AttemptTerminator(
      SidecarOutbox outbox, Counters counters, AttemptTable table, PrefixAvailability prefixes) {
    this.outbox = outbox;
    this.counters = counters;
    this.table = table;
    this.prefixes = prefixes;
  }

  /** Completes an attempt whose run has ended. */
  void complete(AdmittedAttempt attempt, String finishReason, int cachedBlocks, long nowMicros) {
    int unusedTokens = attempt.offer().maximumOutputTokens() - attempt.position();
    attempt.record().recordCompletion(cachedBlocks, nowMicros);
    remove(attempt);
    table.queue(attempt.priority()).refund(attempt.team(), unusedTokens);
    counters.increment("answers.complete");
    counters.add("cache.blocks-reused", cachedBlocks);
    counters.add("cache.blocks-computed", Math.max(0, attempt.keys().size() - cachedBlocks));
    outbox.send(
        attempt.router(),
        new PeerMessage.Ended(attempt.attempt(), attempt.position(), finishReason, cachedBlocks));
  }

  /** Fails an attempt and notifies its router. */
  void fail(
      AdmittedAttempt attempt, RefusalReason reason, String detail, long retryAtMicros, long now) {
    fail(attempt, reason, detail, retryAtMicros, CrashRole.NONE, now);
  }

  /** Fails an attempt and notifies its router, with its role in a crash of the engine. */
  void fail(
      AdmittedAttempt attempt,
      RefusalReason reason,
      String detail,
      long retryAtMicros,
      CrashRole crashRole,
      long nowMicros) {
    cancelOnEngine(attempt);
    attempt.record().recordEnd(reason.code(), attempt.outcome(), nowMicros);
    remove(attempt);
    counters.increment("failures." + reason.code());
    outbox.send(
        attempt.router(),
        new PeerMessage.Failed(
            attempt.attempt(), reason, attempt.outcome(), detail, retryAtMicros, crashRole));
  }

  /**
   * Ends an attempt without notifying its router, which cancelled it, is gone, or let its
   * reservation expire.
   */
  void drop(AdmittedAttempt attempt, String reason, long nowMicros) {
    cancelOnEngine(attempt);
    attempt.record().recordEnd(reason, attempt.outcome(), nowMicros);
    remove(attempt);
    counters.increment("attempts." + reason);
  }

  private void cancelOnEngine(AdmittedAttempt attempt) {
    if (attempt.is(AdmittedAttempt.Stage.RUNNING)) {
      outbox.command(new SidecarCommand.CancelAnswer(attempt.run()));
    }
  }

  private void remove(AdmittedAttempt attempt) {
    prefixes.onRunEnded(attempt.run());
    table.remove(attempt);
  }
}
