package org.shallothook.coordination.placement;

import java.util.ArrayList;
import java.util.List;

/**
 * Upstreams that are offered a request, in order of preference.
 *
 * <p>Invariant: no upstream occurs twice. Immutable and thread-safe.
 *
 * @param offers upstreams, the preferred one first; empty if there is none
 * @param comparesHints whether a poor hint from one upstream causes an offer to the next as well
 */
public record PlacementPlan(List<PlannedOffer> offers, boolean comparesHints) {
  public PlacementPlan {
    offers = List.copyOf(offers);
  }

  /**
   * Returns this plan with the first upstream of another plan moved to the front, with its rank in
   * this plan. An upstream that is not in this plan gets a rank after all of those that are.
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
