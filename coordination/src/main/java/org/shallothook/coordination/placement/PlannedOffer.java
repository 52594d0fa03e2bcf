package org.shallothook.coordination.placement;

/**
 * An upstream that may be offered a request, and its rank.
 *
 * <p>Immutable and thread-safe, except for the state of the candidate.
 *
 * @param candidate the upstream
 * @param rank its rendezvous rank for the prompt's shared prefix, 0 for the home
 */
public record PlannedOffer(PlacementCandidate candidate, int rank) {}
