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
  void complete(AdmittedAttempt ticket, String finishReason, int cachedBlocks, long nowMicros) {
    int unusedTokens = ticket.offer().maximumOutputTokens() - ticket.position();
    ticket.record().noteDone(cachedBlocks, nowMicros);
    leave(ticket);
    table.queue(ticket.priority()).refund(ticket.team(), unusedTokens);
    counters.increment("answers.complete");
    counters.add("cache.blocks-reused", cachedBlocks);
    counters.add("cache.blocks-computed", Math.max(0, ticket.keys().size() - cachedBlocks));
    outbox.send(
        ticket.router(),
        new PeerMessage.Ended(ticket.attempt(), ticket.position(), finishReason, cachedBlocks));
  }

  /** Ends an attempt whose router has to hear of it. */
  void fail(
      AdmittedAttempt ticket, RefusalReason reason, String detail, long retryAtMicros, long now) {
    fail(ticket, reason, detail, retryAtMicros, CrashRole.NONE, now);
  }

  /** Ends an attempt whose engine was lost, or may have been. */
  void fail(
      AdmittedAttempt ticket,
      RefusalReason reason,
      String detail,
      long retryAtMicros,
      CrashRole crashRole,
      long nowMicros) {
    cancelOnEngine(ticket);
    ticket.record().noteEnd(reason.code(), ticket.outcome(), nowMicros);
    leave(ticket);
    counters.increment("failures." + reason.code());
    outbox.send(
        ticket.router(),
        new PeerMessage.Failed(
            ticket.attempt(), reason, ticket.outcome(), detail, retryAtMicros, crashRole));
  }

  /** Ends an attempt that nobody waits for. */
  void drop(AdmittedAttempt ticket, String why, long nowMicros) {
    cancelOnEngine(ticket);
    ticket.record().noteEnd(why, ticket.outcome(), nowMicros);
    leave(ticket);
    counters.increment("attempts." + why);
  }

  private void cancelOnEngine(AdmittedAttempt ticket) {
    if (ticket.is(AdmittedAttempt.Stage.RUNNING)) {
      outbox.command(new SidecarCommand.CancelAnswer(ticket.run()));
    }
  }

  private void leave(AdmittedAttempt ticket) {
    prefixes.onRunEnded(ticket.run());
    table.remove(ticket);
  }
}
