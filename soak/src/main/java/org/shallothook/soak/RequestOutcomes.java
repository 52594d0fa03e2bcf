package org.shallothook.soak;

import java.util.EnumMap;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.shallothook.soak.standins.ExecutionLog;

/**
 * Outcomes of all requests, checked at the end of a run against the executions at the servers.
 *
 * <p>Thread-safe.
 */
final class RequestOutcomes {
  private final Queue<FinishedRequest> requests = new ConcurrentLinkedQueue<>();

  private record FinishedRequest(RequestKind kind, String id, CallerOutcome outcome) {}

  void record(RequestKind kind, String id, CallerOutcome outcome) {
    requests.add(new FinishedRequest(kind, id, outcome));
  }

  /** Records a violation for each refused request that has run, and each that ran too often. */
  void checkAgainst(ExecutionLog executionLog) {
    for (FinishedRequest request : requests) {
      int runs = executionLog.executionsOf(request.id()).size();
      if (request.kind().mayRunMoreThanOnce()) {
        continue;
      }
      if (runs > 1) {
        executionLog.recordViolation(
            "at most one execution",
            request + " ran at " + executionLog.executionsOf(request.id()));
      }
      if (request.outcome() == CallerOutcome.REFUSED && runs > 0) {
        executionLog.recordViolation(
            "a refused request has not run",
            request + " ran at " + executionLog.executionsOf(request.id()));
      }
    }
  }

  /** Returns the number of requests per outcome. */
  Map<CallerOutcome, Integer> counts() {
    Map<CallerOutcome, Integer> counts = new EnumMap<>(CallerOutcome.class);
    requests.forEach(request -> counts.merge(request.outcome(), 1, Integer::sum));
    return counts;
  }
}
