package org.shallothook.state.booking;

/**
 * One statement within a record of a claims partition. A record holds a batch of them.
 *
 * <p>The scope names team, service and idempotency key. All lines are immutable and thread-safe.
 */
public sealed interface ClaimLine {

  /**
   * Claims the right to make a call. The first claim of a scope by offset has it.
   *
   * @param scope what may run once
   * @param digest digest of the payload
   * @param claim identifier of the claim; appending it again has no effect
   */
  record Claim(String scope, String digest, String claim) implements ClaimLine {}

  /**
   * Tells what the service answered to the call made under a claim.
   *
   * @param scope scope of the claim
   * @param claim identifier of the claim
   * @param outcome the answer
   */
  record Finished(String scope, String claim, ServiceOutcome outcome) implements ClaimLine {}

  /**
   * Gives a claim back. Only its claimant writes it, and only when the call was not made and never
   * will be made under that claim.
   *
   * @param scope scope of the claim
   * @param claim identifier of the claim
   */
  record Released(String scope, String claim) implements ClaimLine {}

  /**
   * Carries an entry over the retention of the log.
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
   * Says that every claim made since a time is found at or above an offset of the partition.
   *
   * @param fromOffset the offset
   * @param sinceMicros the time, in microseconds since the epoch
   */
  record Covered(long fromOffset, long sinceMicros) implements ClaimLine {}
}
