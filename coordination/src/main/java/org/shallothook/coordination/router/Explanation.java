package org.shallothook.coordination.router;

import java.util.List;
import java.util.Optional;
import org.shallothook.coordination.message.Hint;
import org.shallothook.state.request.Outcome;
import org.shallothook.state.request.Refusal;
import org.shallothook.state.request.RequestId;

/**
 * History of a request: the decisions that the router made and the inputs that led to them.
 *
 * <p>All times are microseconds since the epoch; 0 means that the event has not happened.
 *
 * <p>Immutable and thread-safe.
 *
 * @param request the request
 * @param team team that sent it
 * @param target model version, or service and path, that it requested
 * @param arrivedAtMicros when it arrived
 * @param deadlineMicros deadline of its first token or, for a call, of the response
 * @param configurationOffset offset of the configuration under which it was admitted
 * @param promptBlocks number of whole blocks in its prompt; 0 for a call
 * @param fingerprint digest of team and content; empty for a call
 * @param plan names of the upstreams, in the order of the latest placement plan
 * @param attempts attempts, including offers that were refused, oldest first
 * @param retries codes of the reasons for its retries, oldest first
 * @param outcome outcome over all attempts, as far as known
 * @param refusal refusal sent to the caller, if any
 * @param endedAtMicros when it ended
 * @param end how it ended; {@code open} if it has not
 */
public record Explanation(
    RequestId request,
    String team,
    String target,
    long arrivedAtMicros,
    long deadlineMicros,
    long configurationOffset,
    int promptBlocks,
    String fingerprint,
    List<String> plan,
    List<AttemptExplanation> attempts,
    List<String> retries,
    Outcome outcome,
    Optional<Refusal> refusal,
    long endedAtMicros,
    String end) {
  public Explanation {
    plan = List.copyOf(plan);
    attempts = List.copyOf(attempts);
    retries = List.copyOf(retries);
  }

  /**
   * One attempt at one upstream.
   *
   * <p>Immutable and thread-safe.
   *
   * @param number number of the attempt, from 1
   * @param upstream name of the upstream
   * @param failureDomain its failure domain
   * @param rank rendezvous rank of the upstream for the prompt's shared prefix
   * @param isAlone whether the upstream was asked to run the request alone
   * @param offeredAtMicros when the request was offered
   * @param hint hint in the sidecar's reply, if one arrived
   * @param costMicros expected time to the first token according to the hint, in microseconds
   * @param submittedAtMicros when the prompt was sent
   * @param firstFrameAtMicros when the first tokens arrived
   * @param fromPosition number of tokens delivered to the caller before the attempt
   * @param toPosition number of tokens delivered to the caller by the end of the attempt
   * @param end how it ended; {@code open} if it has not
   * @param endedAtMicros when it ended
   */
  public record AttemptExplanation(
      int number,
      String upstream,
      String failureDomain,
      int rank,
      boolean isAlone,
      long offeredAtMicros,
      Optional<Hint> hint,
      long costMicros,
      long submittedAtMicros,
      long firstFrameAtMicros,
      int fromPosition,
      int toPosition,
      String end,
      long endedAtMicros) {}
}
