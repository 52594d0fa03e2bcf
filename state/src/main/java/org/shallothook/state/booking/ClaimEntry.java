package org.shallothook.state.booking;

import java.util.Objects;
import java.util.Optional;
import java.util.Set;

/**
 * State of one scope in a claims partition.
 *
 * <p>Invariant: later claims and releases do not change an entry that has an outcome. Immutable and
 * thread-safe.
 *
 * @param scope team, service and idempotency key
 * @param digest digest of the payload that the scope belongs to; empty if no claim was read
 * @param claim identifier of the claim that holds the scope; a released one if {@code isHeld} is
 *     false
 * @param offset offset of that claim, used as fencing token
 * @param claimedAtMicros when the log appended the first claim of the scope, in microseconds since
 *     the epoch
 * @param isHeld whether the claim has not been released
 * @param released identifiers of the claims that were released
 * @param outcome response of the service; empty until it is known
 */
public record ClaimEntry(
    String scope,
    String digest,
    String claim,
    long offset,
    long claimedAtMicros,
    boolean isHeld,
    Set<String> released,
    Optional<ServiceOutcome> outcome) {
  public ClaimEntry {
    Objects.requireNonNull(scope, "scope");
    Objects.requireNonNull(digest, "digest");
    Objects.requireNonNull(claim, "claim");
    Objects.requireNonNull(outcome, "outcome");
    released = Set.copyOf(released);
  }
}
