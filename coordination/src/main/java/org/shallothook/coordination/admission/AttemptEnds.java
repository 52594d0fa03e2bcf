package org.shallothook.coordination.admission;

import org.shallothook.coordination.message.CrashRole;
import org.shallothook.coordination.message.PeerMessage;
import org.shallothook.coordination.port.Counters;
import org.shallothook.coordination.sidecar.SidecarCommand;
import org.shallothook.coordination.sidecar.SidecarOutbox;
import org.shallothook.state.request.RefusalReason;

/**
 * Ends attempts: takes them out of the table, tells their routers, records and counts it.
 *
 * <p>Invariant: an attempt is reported as not run only when no run of it can have reached the
 * engine. Not thread-safe: used on the decision thread.
 */
final class AttemptEnds {
  private final SidecarOutbox outbox;
  private final Counters counters;
  private final AttemptTable table;
  private final PrefixSupply prefixes;

  AttemptEnds(SidecarOutbox outbox, Counters counters, AttemptTable table, PrefixSupply prefixes) {
    this.outbox = outbox;
    this.counters = counters;
    this.table = table;
    this.prefixes = prefixes;
  }

  /** Ends an attempt with a complete answer. */
  void complete(AdmittedAttempt attempt, String finishReason, int cachedBlocks, long nowMicros) {
    int unusedTokens = attempt.offer().maximumOutputTokens() - attempt.position();
    attempt.record().noteDone(cachedBlocks, nowMicros);
    leave(attempt);
    table.queue(attempt.priority()).refund(attempt.team(), unusedTokens);
    counters.increment("answers.complete");
    counters.add("cache.blocks-reused", cachedBlocks);
    counters.add("cache.blocks-computed", Math.max(0, attempt.keys().size() - cachedBlocks));
    outbox.send(
        attempt.router(),
        new PeerMessage.Ended(attempt.attempt(), attempt.position(), finishReason, cachedBlocks));
  }

  /** Ends an attempt whose router has to hear of it. */
  void fail(
      AdmittedAttempt attempt, RefusalReason reason, String detail, long retryAtMicros, long now) {
    fail(attempt, reason, detail, retryAtMicros, CrashRole.NONE, now);
  }

  /** Ends an attempt whose engine was lost, or may have been. */
  void fail(
      AdmittedAttempt attempt,
      RefusalReason reason,
      String detail,
      long retryAtMicros,
      CrashRole crashRole,
      long nowMicros) {
    cancelOnEngine(attempt);
    attempt.record().noteEnd(reason.code(), attempt.outcome(), nowMicros);
    leave(attempt);
    counters.increment("failures." + reason.code());
    outbox.send(
        attempt.router(),
        new PeerMessage.Failed(
            attempt.attempt(), reason, attempt.outcome(), detail, retryAtMicros, crashRole));
  }

  /** Ends an attempt that nobody waits for. */
  void drop(AdmittedAttempt attempt, String why, long nowMicros) {
    cancelOnEngine(attempt);
    attempt.record().noteEnd(why, attempt.outcome(), nowMicros);
    leave(attempt);
    counters.increment("attempts." + why);
  }

  private void cancelOnEngine(AdmittedAttempt attempt) {
    if (attempt.is(AdmittedAttempt.Stage.RUNNING)) {
      outbox.command(new SidecarCommand.CancelAnswer(attempt.run()));
    }
  }

  private void leave(AdmittedAttempt attempt) {
    prefixes.onRunEnded(attempt.run());
    table.remove(attempt);
  }
}
