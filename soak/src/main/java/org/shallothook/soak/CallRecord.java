package org.shallothook.soak;

import java.util.EnumMap;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.shallothook.soak.standins.Ledger;

/**
 * How all requests ended, checked at the end against what servers saw.
 *
 * <p>Thread-safe.
 */
final class CallRecord {
  private final Queue<Ended> requests = new ConcurrentLinkedQueue<>();

  private record Ended(RequestKind kind, String id, Outcome outcome) {}

  void ended(RequestKind kind, String id, Outcome outcome) {
    requests.add(new Ended(kind, id, outcome));
  }

  /** Notes each request that ran although its caller was told otherwise, or ran too often. */
  void checkAgainst(Ledger ledger) {
    for (Ended request : requests) {
      int runs = ledger.runsOf(request.id()).size();
      if (request.kind().mayRunAgain()) {
        continue;
      }
      if (runs > 1) {
        ledger.violated("at most one run", request + " ran at " + ledger.runsOf(request.id()));
      }
      if (request.outcome() == Outcome.REFUSED && runs > 0) {
        ledger.violated(
            "a refusal has not run", request + " ran at " + ledger.runsOf(request.id()));
      }
    }
  }

  /** Returns how many requests ended in each way. */
  Map<Outcome, Integer> counts() {
    Map<Outcome, Integer> counts = new EnumMap<>(Outcome.class);
    requests.forEach(request -> counts.merge(request.outcome(), 1, Integer::sum));
    return counts;
  }
}
