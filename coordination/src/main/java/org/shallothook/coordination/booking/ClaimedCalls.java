package org.shallothook.coordination.booking;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.shallothook.state.request.AttemptId;

/**
 * The open calls of one sidecar, indexed by scope, by claim and by running attempt.
 *
 * <p>Invariant: at most one call is open for a scope, and a call is indexed by its attempt only
 * while it is running. Not thread-safe.
 */
final class ClaimedCalls {
  private final Map<String, ClaimedCall> byScope = new LinkedHashMap<>();
  private final Map<String, ClaimedCall> byClaim = new LinkedHashMap<>();
  private final Map<AttemptId, ClaimedCall> running = new LinkedHashMap<>();

  boolean isEmpty() {
    return byScope.isEmpty();
  }

  /**
   * Returns a copy of the open calls, oldest first, so that calls may be closed while iterating.
   */
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

  /** Marks a call as running and indexes it by its attempt. */
  void startRun(ClaimedCall call) {
    call.isRunning = true;
    running.put(call.call.attempt(), call);
  }

  /** Removes a running attempt and returns its call, or empty if it was not running here. */
  Optional<ClaimedCall> endRun(AttemptId attempt) {
    return Optional.ofNullable(running.remove(attempt));
  }

  /** Removes a call from all indexes. */
  void close(ClaimedCall call) {
    byScope.remove(call.scope);
    byClaim.remove(call.claim);
    running.remove(call.call.attempt());
  }

  /** Removes the attempts that wait at a router. */
  void removeWaitersAt(String router) {
    byScope.values().forEach(call -> call.waiters.values().removeIf(router::equals));
  }
}
