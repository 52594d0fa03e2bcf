package org.shallothook.transport.logging;

import java.util.List;
import java.util.Optional;

/**
 * How a request ended according to its log lines, with an explanation.
 *
 * <p>Immutable and thread-safe.
 */
public enum TraceOutcome {
  /** A server's complete response was relayed to the caller. */
  SERVED("complete") {
    @Override
    String explain(List<DecisionLine> steps) {
      return "A server's complete response was relayed.";
    }
  },
  /** The caller disconnected before the response was complete. */
  CALLER_LEFT("caller-gone") {
    @Override
    String explain(List<DecisionLine> steps) {
      return "The caller closed its connection before the response was complete"
          + latestStep(steps, "send")
              .map(sendLine -> ", while the request was open at " + sendLine.field("server"))
              .orElse("")
          + ".";
    }
  },
  /** The response was cut off after it had started. */
  BROKEN_OFF("break-off") {
    @Override
    String explain(List<DecisionLine> steps) {
      boolean isResumed = latestStep(steps, "resume").isPresent();
      return "The response was broken off: "
          + steps.get(steps.size() - 1).field("detail")
          + lastFailure(steps)
          + (isResumed
              ? ". The request had been resumed at another server before."
              : ". It was not resumed at another server: the route does not allow it, or no retry was left.");
    }
  },
  /** The request was refused. */
  REFUSED("refuse") {
    @Override
    String explain(List<DecisionLine> steps) {
      DecisionLine refusal = steps.get(steps.size() - 1);
      boolean mayHaveBeenExecuted = refusal.field("outcome").equals("unknown");
      return "Refused as "
          + refusal.field("reason")
          + ": "
          + refusal.field("detail")
          + lastFailure(steps)
          + (mayHaveBeenExecuted
              ? ". Whether it was executed is not known; it was not sent again."
              : ". It was not executed.");
    }
  },
  /** No line records the end of the request. */
  OPEN("") {
    @Override
    String explain(List<DecisionLine> steps) {
      return "No line records the end: the request is open, its process was killed, or lines were dropped.";
    }
  };

  private final String decision;

  TraceOutcome(String decision) {
    this.decision = decision;
  }

  /** Returns the outcome of a request, given its lines by time. */
  static TraceOutcome of(List<DecisionLine> steps) {
    String last = steps.isEmpty() ? "" : steps.get(steps.size() - 1).decision();
    for (TraceOutcome outcome : values()) {
      if (!outcome.decision.isEmpty() && outcome.decision.equals(last)) {
        return outcome;
      }
    }
    return OPEN;
  }

  /** Returns a sentence or two on why the request ended this way. */
  abstract String explain(List<DecisionLine> steps);

  private static Optional<DecisionLine> latestStep(List<DecisionLine> steps, String decision) {
    return steps.stream()
        .filter(step -> step.decision().equals(decision))
        .reduce((earlier, later) -> later);
  }

  private static String lastFailure(List<DecisionLine> steps) {
    return latestStep(steps, "attempt-failed")
        .map(failed -> "; at " + failed.field("server") + ": " + failed.field("detail"))
        .orElse("");
  }
}
