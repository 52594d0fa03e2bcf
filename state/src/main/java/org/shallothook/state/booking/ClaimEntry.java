package org.shallothook.state.booking;

import java.util.Objects;
import java.util.Optional;
import java.util.Set;

/**
 * What a partition of the log says about one scope.
 *
 * <p>Invariant: an entry with an outcome never changes. Immutable and thread-safe.
 *
 * @param scope team, service and idempotency key
 * @param digest digest of the payload that the scope belongs to; empty where no claim was read
 * @param claim identifier of the claim that counts
 * @param offset offset of that claim, used as fencing number
 * @param claimedAtMicros when the log took the scope's first claim, in microseconds since the epoch
 * @param isHeld whether the claim has not been given back
 * @param released identifiers of claims that were given back
 * @param outcome what the service answered, once that is known
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
