package org.shallothook.transport.logging;

import java.util.List;
import java.util.Optional;

/**
 * How a request has ended, as its lines tell, and what that means.
 *
 * <p>Immutable and thread-safe.
 */
public enum TraceOutcome {
  /** The caller has got a server's whole answer. */
  SERVED("complete") {
    @Override
    String explain(List<DecisionLine> steps) {
      return "A server's answer was passed on whole.";
    }
  },
  /** The caller has left first. */
  CALLER_LEFT("caller-gone") {
    @Override
    String explain(List<DecisionLine> steps) {
      return "The caller closed its connection before the answer was whole"
          + latest(steps, "send").map(sent -> ", open at " + sent.field("server")).orElse("")
          + ".";
    }
  },
  /** An answer that had begun was broken off. */
  BROKEN_OFF("break-off") {
    @Override
    String explain(List<DecisionLine> steps) {
      boolean wasResumed = latest(steps, "resume").isPresent();
      return "The answer was broken off: "
          + steps.get(steps.size() - 1).field("detail")
          + lost(steps)
          + (wasResumed
              ? ". It had gone on at another server before."
              : ". No other server went on: the route allows it not, or no retry was left.");
    }
  },
  /** A final refusal by this product. */
  REFUSED("refuse") {
    @Override
    String explain(List<DecisionLine> steps) {
      DecisionLine refusal = steps.get(steps.size() - 1);
      boolean mayHaveRun = refusal.field("outcome").equals("unknown");
      return "Refused as "
          + refusal.field("reason")
          + ": "
          + refusal.field("detail")
          + lost(steps)
          + (mayHaveRun
              ? ". Whether it has run is not known; it was not sent again."
              : ". It has not run.");
    }
  },
  /** No line tells of an end. */
  OPEN("") {
    @Override
    String explain(List<DecisionLine> steps) {
      return "No line tells of an end: it was open, its process was killed, or lines were dropped.";
    }
  };

  private final String decision;

  TraceOutcome(String decision) {
    this.decision = decision;
  }

  /** Returns the end of a request by its lines in order. */
  static TraceOutcome of(List<DecisionLine> steps) {
    String last = steps.isEmpty() ? "" : steps.get(steps.size() - 1).decision();
    for (TraceOutcome outcome : values()) {
      if (!outcome.decision.isEmpty() && outcome.decision.equals(last)) {
        return outcome;
      }
    }
    return OPEN;
  }

  /** Returns a sentence or two on why the request ended so. */
  abstract String explain(List<DecisionLine> steps);

  private static Optional<DecisionLine> latest(List<DecisionLine> steps, String decision) {
    return steps.stream()
        .filter(step -> step.decision().equals(decision))
        .reduce((earlier, later) -> later);
  }

  private static String lost(List<DecisionLine> steps) {
    return latest(steps, "attempt-failed")
        .map(failed -> "; at " + failed.field("server") + ": " + failed.field("detail"))
        .orElse("");
  }
}
