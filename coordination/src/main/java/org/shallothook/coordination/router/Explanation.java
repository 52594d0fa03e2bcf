package org.shallothook.coordination.router;

import java.util.List;
import java.util.Optional;
import org.shallothook.coordination.message.Hint;
import org.shallothook.state.request.Outcome;
import org.shallothook.state.request.Refusal;
import org.shallothook.state.request.RequestId;

/**
 * Why a request was decided as it was.
 *
 * <p>All times are microseconds since the epoch; 0 stands for what has not happened.
 *
 * <p>Immutable and thread-safe.
 *
 * @param request the request
 * @param team team that sent it
 * @param target model version or service that it was for
 * @param arrivedAtMicros when it arrived
 * @param deadlineMicros when its first token or answer was of no more use
 * @param configurationOffset offset of the configuration that it was admitted under
 * @param promptBlocks whole blocks of its prompt, 0 for a call
 * @param fingerprint digest of team and content, empty for a call
 * @param plan upstreams in the order of the latest plan
 * @param attempts offers and runs, oldest first
 * @param retries reasons of its retries, oldest first
 * @param outcome what is known of its effect over all attempts
 * @param refusal its refusal, if it was refused
 * @param endedAtMicros when it ended
 * @param end how it ended, {@code open} while it has not
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
   * @param rank its rendezvous rank for the prompt's shared opening
   * @param isAlone whether it was told to run the request alone
   * @param offeredAtMicros when the request was offered
   * @param hint what the sidecar answered, if it did
   * @param costMicros expected time to the first token by that hint
   * @param submittedAtMicros when the prompt was sent
   * @param firstFrameAtMicros when the first tokens came
   * @param fromPosition tokens delivered before the attempt
   * @param toPosition tokens delivered after it
   * @param end how it ended, {@code open} while it has not
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
