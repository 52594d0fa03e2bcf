package org.shallothook.state.configuration;

/**
 * Limits on the requests of one team.
 *
 * <p>Invariant: every limit is positive. Immutable and thread-safe.
 *
 * @param maximumPromptBytes maximum size of a rendered prompt, in bytes
 * @param maximumOutputTokens maximum number of tokens in an answer
 * @param maximumConcurrentRequests maximum number of open requests of the team at one router
 */
public record TeamLimits(
    int maximumPromptBytes, int maximumOutputTokens, int maximumConcurrentRequests) {
  /** Limits of a team whose template sets none. */
  public static final TeamLimits DEFAULT = new TeamLimits(1_000_000, 4_096, 1_024);

  public TeamLimits {
    if (maximumPromptBytes <= 0 || maximumOutputTokens <= 0 || maximumConcurrentRequests <= 0) {
      throw new IllegalArgumentException("Every limit of a team must be positive.");
    }
  }
}
