package org.shallothook.coordination.message;

/** What a keeper of a claims partition says about a claim. Immutable and thread-safe. */
public enum ClaimVerdict {
  /** The claim counts: its claimant, and no one else, may make the call. */
  GRANTED,
  /** The call has run, and the answer is known. */
  FINISHED,
  /** Another claim counts, and its call may have run. */
  HELD,
  /** The key belongs to another payload. */
  MISMATCH,
  /** The log takes nothing, and no claim of the scope is known. */
  UNAVAILABLE_UNCLAIMED,
  /** The keeper cannot tell whether there is a claim. */
  UNDECIDED
}
