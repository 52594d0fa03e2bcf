package org.shallothook.coordination.placement;

import java.util.List;

/**
 * Order in which upstreams are offered a request.
 *
 * <p>Invariant: no upstream stands in the plan twice. Immutable and thread-safe.
 *
 * @param offers upstreams, the preferred first; empty where there is none
 * @param comparesHints whether a poor hint of one upstream is a reason to ask the next
 */
public record PlacementPlan(List<PlannedOffer> offers, boolean comparesHints) {
  public PlacementPlan {
    offers = List.copyOf(offers);
  }
}
