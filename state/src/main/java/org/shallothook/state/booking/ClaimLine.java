package org.shallothook.state.booking;

/**
 * One line of a record of a claims partition. A record holds a batch of lines.
 *
 * <p>The scope names team, service and idempotency key. All lines are immutable and thread-safe.
 */
public sealed interface ClaimLine {

  /**
   * Claims the right to make a call. The first claim of a scope by offset is granted it.
   *
   * @param scope scope in which only one call may run
   * @param digest digest of the payload
   * @param claim identifier of the claim; appending it again has no effect
   */
  record Claim(String scope, String digest, String claim) implements ClaimLine {}

  /**
   * Records the response of the service to the call made under a claim.
   *
   * @param scope scope of the claim
   * @param claim identifier of the claim
   * @param outcome response of the service
   */
  record Finished(String scope, String claim, ServiceOutcome outcome) implements ClaimLine {}

  /**
   * Releases a claim. Only the claimant writes this line, and only if the call was not made and
   * will never be made under that claim.
   *
   * @param scope scope of the claim
   * @param claim identifier of the claim
   */
  record Released(String scope, String claim) implements ClaimLine {}

  /**
   * Repeats an entry so that it survives the expiry of its records from the log.
   *
   * @param entry the entry
   */
  record Carried(ClaimEntry entry) implements ClaimLine {
    /** Returns the scope of the entry. */
    public String scope() {
      return entry.scope();
    }
  }

  /**
   * States that every claim made since a time is recorded at or above an offset of the partition.
   *
   * @param fromOffset the offset
   * @param sinceMicros the time, in microseconds since the epoch
   */
  record Covered(long fromOffset, long sinceMicros) implements ClaimLine {}
}
