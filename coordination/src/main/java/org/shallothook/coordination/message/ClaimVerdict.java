package org.shallothook.coordination.message;

/**
 * Reply of the owner of a claims partition to a {@link PeerMessage.ClaimRequest}. Immutable and
 * thread-safe.
 */
public enum ClaimVerdict {
  /** The claim was granted: only its claimant may make the call. */
  GRANTED,
  /** The call has already run, and its response is known. */
  FINISHED,
  /** Another claim was granted, and its call may have run. */
  HELD,
  /** The idempotency key was first used with a different payload. */
  MISMATCH,
  /** The log accepts no appends, and no claim on this scope is known. */
  UNAVAILABLE_UNCLAIMED,
  /** The partition owner cannot tell whether there is a claim. */
  UNDECIDED
}
