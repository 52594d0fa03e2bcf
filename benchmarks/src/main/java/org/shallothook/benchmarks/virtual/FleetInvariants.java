package org.shallothook.benchmarks.virtual;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.shallothook.state.request.Outcome;

/**
 * Checks what callers received against what upstreams executed.
 *
 * <p>Stateless and thread-safe.
 */
public final class FleetInvariants {
  private FleetInvariants() {}

  /**
   * Returns every violation found, in words; none in a sound run.
   *
   * <ul>
   *   <li>Tokens came in order, and are the answer of one model version, whole where it was called
   *       complete.
   *   <li>A refusal that says that nothing ran is true.
   *   <li>A call with an idempotency key ran at most once, unless its path may be repeated.
   *   <li>Complete answers under one idempotency key are the same.
   * </ul>
   *
   * @param repeatablePaths service paths that may be repeated
   */
  public static List<String> violations(VirtualFleet fleet, Set<String> repeatablePaths) {
    List<String> violations = new ArrayList<>();
    for (ChatRecord chat : fleet.callers().chats()) {
      checkStream(fleet, chat, violations);
      checkNotRun(fleet, chat, violations);
    }
    Map<String, String> bodies = new LinkedHashMap<>();
    for (ServiceRecord call : fleet.callers().calls()) {
      checkNotRun(fleet, call, violations);
      if (!repeatablePaths.contains(call.call().path())) {
        checkOnce(fleet, call, bodies, violations);
      }
    }
    return violations;
  }

  private static void checkStream(VirtualFleet fleet, ChatRecord chat, List<String> violations) {
    if (chat.misplaced() > 0) {
      violations.add(chat.request() + ": " + chat.misplaced() + " tokens out of order");
    }
    boolean isComplete = chat.state() == CallerRecord.State.COMPLETE;
    if (chat.tokens() == 0 && !isComplete) {
      return;
    }
    boolean matches =
        fleet.ledger().answers(chat.request()).stream()
            .anyMatch(
                answer ->
                    answer.answer().text(chat.tokens()).equals(chat.text())
                        && (!isComplete || answer.tokens() == chat.tokens()));
    if (!matches) {
      violations.add(
          chat.request()
              + ": "
              + chat.tokens()
              + " tokens are not the answer ("
              + chat.state()
              + ")");
    }
    if (isComplete && chat.announcedTokens() != chat.tokens()) {
      violations.add(chat.request() + ": announced " + chat.announcedTokens() + " tokens");
    }
  }

  private static void checkNotRun(
      VirtualFleet fleet, CallerRecord record, List<String> violations) {
    boolean saysNotRun =
        record.refusal().filter(refusal -> refusal.outcome() == Outcome.NOT_RUN).isPresent();
    if (saysNotRun && !fleet.ledger().executions(record.request()).isEmpty()) {
      violations.add(record.request() + ": refused as not run, but an upstream ran it");
    }
  }

  private static void checkOnce(
      VirtualFleet fleet, ServiceRecord call, Map<String, String> bodies, List<String> violations) {
    Optional<String> key = call.call().idempotencyKey();
    if (key.isEmpty()) {
      return;
    }
    if (fleet.ledger().serviceRuns(key.get()) > 1) {
      violations.add(call.request() + ": ran " + fleet.ledger().serviceRuns(key.get()) + " times");
    }
    if (call.state() == CallerRecord.State.COMPLETE) {
      String first = bodies.putIfAbsent(key.get(), call.body());
      if (first != null && !first.equals(call.body())) {
        violations.add(call.request() + ": answered otherwise than before under the same key");
      }
    }
  }
}
