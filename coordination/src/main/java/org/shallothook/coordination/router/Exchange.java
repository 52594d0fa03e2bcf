package org.shallothook.coordination.router;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import org.shallothook.coordination.membership.Upstream;
import org.shallothook.coordination.retry.RetryReason;
import org.shallothook.state.configuration.TeamTemplate;
import org.shallothook.state.request.AttemptId;
import org.shallothook.state.request.Outcome;
import org.shallothook.state.request.Refusal;
import org.shallothook.state.request.RequestId;

/**
 * State that open chat completions and open calls have in common: the attempts and the known
 * outcome.
 *
 * <p>Invariant: once {@link #mayHaveRun()} is true it stays true, whatever later attempts report.
 * Not thread-safe.
 */
abstract class Exchange {
  private final RequestId id;
  private final TeamTemplate team;
  private final long arrivedAtMicros;
  private final long deadlineMicros;
  private final List<Attempt> attempts = new ArrayList<>();
  private final List<RetryReason> retries = new ArrayList<>();
  private boolean mayHaveRun;

  Exchange(RequestId id, TeamTemplate team, long arrivedAtMicros, long deadlineMicros) {
    this.id = id;
    this.team = team;
    this.arrivedAtMicros = arrivedAtMicros;
    this.deadlineMicros = deadlineMicros;
  }

  final RequestId id() {
    return id;
  }

  final TeamTemplate team() {
    return team;
  }

  final long arrivedAtMicros() {
    return arrivedAtMicros;
  }

  final long deadlineMicros() {
    return deadlineMicros;
  }

  final boolean mayHaveRun() {
    return mayHaveRun;
  }

  final void setMayHaveRun() {
    mayHaveRun = true;
  }

  /** Returns the outcome to report if the request ends without a complete response. */
  final Outcome outcome() {
    return mayHaveRun ? Outcome.UNKNOWN : Outcome.NOT_RUN;
  }

  final List<Attempt> attempts() {
    return Collections.unmodifiableList(attempts);
  }

  final List<RetryReason> retries() {
    return Collections.unmodifiableList(retries);
  }

  final void addRetry(RetryReason reason) {
    retries.add(reason);
  }

  final Attempt open(Upstream upstream, int rank, int position, boolean isAlone, long nowMicros) {
    AttemptId attemptId = new AttemptId(id, attempts.size() + 1);
    Attempt attempt = new Attempt(attemptId, upstream, rank, position, isAlone, nowMicros);
    attempts.add(attempt);
    return attempt;
  }

  final Optional<Attempt> find(AttemptId attemptId) {
    int index = attemptId.number() - 1;
    return index < attempts.size() ? Optional.of(attempts.get(index)) : Optional.empty();
  }

  final List<Attempt> openAttempts() {
    return attempts.stream().filter(Attempt::isOpen).toList();
  }

  /** Returns the open attempt whose upstream was sent the prompt or call, if there is one. */
  final Optional<Attempt> submitted() {
    return attempts.stream().filter(attempt -> attempt.isIn(Attempt.Phase.SUBMITTED)).findFirst();
  }

  /** Returns how many times the prompt or call was sent to an upstream. */
  final long submissions() {
    return attempts.stream().filter(attempt -> attempt.submittedAtMicros() > 0).count();
  }

  /** Returns the history of the request so far. */
  abstract Explanation explain(
      Outcome finalOutcome, Optional<Refusal> refusal, long endedAtMicros, String end);

  final List<Explanation.AttemptExplanation> explainAttempts() {
    return attempts.stream().map(Attempt::explain).toList();
  }

  final List<String> explainRetries() {
    return retries.stream().map(RetryReason::code).toList();
  }

  /** Returns whether the prompt or call was sent to the upstream in any attempt. */
  final boolean hasTried(Upstream upstream) {
    return attempts.stream()
        .anyMatch(attempt -> attempt.upstream() == upstream && attempt.submittedAtMicros() > 0);
  }
}
