package org.shallothook.coordination.booking;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.shallothook.state.request.AttemptId;

/**
 * The open calls of one sidecar, found by what they book, by claim and by running attempt.
 *
 * <p>Invariant: at most one call is open for a scope, and a call is found by its attempt only while
 * it runs. Not thread-safe.
 */
final class ClaimedCalls {
  private final Map<String, ClaimedCall> byScope = new LinkedHashMap<>();
  private final Map<String, ClaimedCall> byClaim = new LinkedHashMap<>();
  private final Map<AttemptId, ClaimedCall> running = new LinkedHashMap<>();

  boolean isEmpty() {
    return byScope.isEmpty();
  }

  /** Returns the open calls, oldest first; they may be closed meanwhile. */
  List<ClaimedCall> all() {
    return List.copyOf(byScope.values());
  }

  Optional<ClaimedCall> ofScope(String scope) {
    return Optional.ofNullable(byScope.get(scope));
  }

  Optional<ClaimedCall> ofClaim(String claim) {
    return Optional.ofNullable(byClaim.get(claim));
  }

  void add(ClaimedCall call) {
    byScope.put(call.scope, call);
    byClaim.put(call.claim, call);
  }

  void run(ClaimedCall call) {
    call.isRunning = true;
    running.put(call.call.attempt(), call);
  }

  /** Ends the run of an attempt and returns its call, if it ran here. */
  Optional<ClaimedCall> endRun(AttemptId attempt) {
    return Optional.ofNullable(running.remove(attempt));
  }

  void close(ClaimedCall call) {
    byScope.remove(call.scope);
    byClaim.remove(call.claim);
    running.remove(call.call.attempt());
  }

  /** Forgets who waits at a router. */
  void removeWaitersAt(String router) {
    byScope.values().forEach(call -> call.waiters.values().removeIf(router::equals));
  }
}
