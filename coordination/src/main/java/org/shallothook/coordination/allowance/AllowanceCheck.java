package org.shallothook.coordination.allowance;

import java.util.Optional;

/**
 * Result of checking a request against the allowance of its team, with what it was decided by.
 *
 * <p>Immutable, but for the charge.
 *
 * @param charge charge of the request; empty if it is beyond the allowance
 * @param cost cost of the request
 * @param ownLevel what this router may use by itself
 * @param fleetLevel what all routers may use, as known here
 * @param share share of the allowance that is this router's
 * @param oldestMicros time of the oldest announcement of another router; empty without any
 * @param acceptedAtMicros when this router would accept the request; the present if it does
 */
public record AllowanceCheck(
    Optional<AllowanceCharge> charge,
    long cost,
    double ownLevel,
    double fleetLevel,
    double share,
    Optional<Long> oldestMicros,
    long acceptedAtMicros) {}
