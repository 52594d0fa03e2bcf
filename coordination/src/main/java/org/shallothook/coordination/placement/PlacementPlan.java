package org.shallothook.coordination.placement;

import java.util.ArrayList;
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

  /**
   * Returns this plan with the first upstream of another one in front, under its rank here. An
   * upstream that this plan does not name gets a rank behind those that it names.
   */
  public PlacementPlan startingWith(PlacementPlan other) {
    if (other.offers().isEmpty()) {
      return this;
    }
    PlacementCandidate first = other.offers().get(0).candidate();
    List<PlannedOffer> rest = new ArrayList<>(offers);
    rest.removeIf(offer -> offer.candidate().equals(first));
    int rank =
        offers.stream()
            .filter(offer -> offer.candidate().equals(first))
            .mapToInt(PlannedOffer::rank)
            .findFirst()
            .orElse(offers.size());
    rest.add(0, new PlannedOffer(first, rank));
    return new PlacementPlan(rest, comparesHints);
  }
}
