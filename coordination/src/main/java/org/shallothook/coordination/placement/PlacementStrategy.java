package org.shallothook.coordination.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Placement policies of the router: prefix affinity, and baselines to compare it with.
 *
 * <p>Invariant: constants have no mutable state. Immutable and thread-safe.
 */
public enum PlacementStrategy implements PlacementPolicy {
  /**
   * Sends prompts that share a prefix to the same few upstreams.
   *
   * <p>The home set of a prompt consists of the leading rendezvous ranks of its deepest shared
   * level, as many as that level is spread over. The hash of the conversation orders the set, so
   * that all turns of a conversation prefer the same upstream. Upstreams with too many outstanding
   * requests move to the end of the set. The homes of the shallower levels, the next ranks and the
   * least loaded upstreams follow.
   */
  PREFIX_AFFINITY {
    @Override
    public PlacementPlan plan(PlacementQuery query) {
      PrefixLevel homeLevel = PrefixLevel.homeOf(query.levels());
      int spread = Math.max(1, query.spread().applyAsInt(homeLevel));
      List<PlacementCandidate> ranks =
          RendezvousHash.ranks(query.candidates(), homeLevel.hash(), spread + RANKS_BEYOND_SPREAD);
      int homeCount = Math.min(spread, ranks.size());
      long conversation = query.levels().get(0).hash();
      List<PlacementCandidate> homeSet = new ArrayList<>(ranks.subList(0, homeCount));
      homeSet.sort(byDescendingWeight(conversation));
      moveOverloadedLast(homeSet, query.candidates());
      Set<PlacementCandidate> order = new LinkedHashSet<>(homeSet);
      addShallowerHomes(order, query, homeLevel);
      order.addAll(ranks);
      addLeastLoaded(order, query.candidates());
      return planOf(order, ranks, true);
    }
  },

  /** Chooses uniformly at random. */
  RANDOM {
    @Override
    public PlacementPlan plan(PlacementQuery query) {
      return rotatedPlan(query, Math.floorMod(query.random(), candidateCount(query)));
    }
  },

  /** Chooses each upstream in turn. */
  ROUND_ROBIN {
    @Override
    public PlacementPlan plan(PlacementQuery query) {
      return rotatedPlan(query, Math.floorMod(query.sequence(), candidateCount(query)));
    }
  },

  /** Chooses the upstream with the fewest outstanding requests of this router; ties rotate. */
  LEAST_OUTSTANDING {
    @Override
    public PlacementPlan plan(PlacementQuery query) {
      int start = Math.floorMod(query.sequence(), candidateCount(query));
      List<PlacementCandidate> order = rotate(query.candidates(), start);
      order.sort(Comparator.comparingInt(PlacementCandidate::outstanding));
      return planOf(order.subList(0, Math.min(BASELINE_OFFERS, order.size())), order, false);
    }
  },

  /** Chooses the home of the shallowest level, whatever its load. */
  CONSISTENT_HASHING {
    @Override
    public PlacementPlan plan(PlacementQuery query) {
      PrefixLevel shallowest = query.levels().get(query.levels().size() - 1);
      List<PlacementCandidate> ranks =
          RendezvousHash.ranks(query.candidates(), shallowest.hash(), BASELINE_OFFERS);
      return planOf(ranks, ranks, false);
    }
  };

  /** Ranks after the home set that are offered a request as well. */
  private static final int RANKS_BEYOND_SPREAD = 3;

  private static final int BASELINE_OFFERS = 4;

  /** Upstreams of least load that are offered a request after all ranks. */
  private static final int LEAST_LOADED_OFFERS = 2;

  /** Multiple of the mean number of outstanding requests above which an upstream is overloaded. */
  private static final double OVERLOAD_FACTOR = 1.5;

  /** Outstanding requests allowed on top, so that a few requests do not count as overload. */
  private static final int OVERLOAD_ALLOWANCE_REQUESTS = 4;

  private static void addShallowerHomes(
      Set<PlacementCandidate> order, PlacementQuery query, PrefixLevel homeLevel) {
    for (PrefixLevel level : query.levels()) {
      if (level.kind().compareTo(homeLevel.kind()) > 0) {
        order.addAll(RendezvousHash.ranks(query.candidates(), level.hash(), 1));
      }
    }
  }

  private static Comparator<PlacementCandidate> byDescendingWeight(long key) {
    return (first, second) ->
        Long.compareUnsigned(
            RendezvousHash.weight(key, second.hash()), RendezvousHash.weight(key, first.hash()));
  }

  private static void moveOverloadedLast(
      List<PlacementCandidate> homeSet, List<? extends PlacementCandidate> all) {
    long outstanding = 0;
    for (PlacementCandidate candidate : all) {
      outstanding += candidate.outstanding();
    }
    double maximumOutstanding =
        OVERLOAD_ALLOWANCE_REQUESTS + OVERLOAD_FACTOR * outstanding / Math.max(1, all.size());
    homeSet.sort(Comparator.comparing(candidate -> candidate.outstanding() > maximumOutstanding));
  }

  private static void addLeastLoaded(
      Set<PlacementCandidate> order, List<? extends PlacementCandidate> candidates) {
    for (int added = 0; added < LEAST_LOADED_OFFERS; added++) {
      PlacementCandidate least = null;
      for (PlacementCandidate candidate : candidates) {
        boolean isLess = least == null || isLessLoaded(candidate, least);
        if (isLess && !order.contains(candidate)) {
          least = candidate;
        }
      }
      if (least != null) {
        order.add(least);
      }
    }
  }

  /** Compares without a comparator because it runs twice for every upstream of each request. */
  private static boolean isLessLoaded(PlacementCandidate one, PlacementCandidate other) {
    if (one.queueDelayMicros() != other.queueDelayMicros()) {
      return one.queueDelayMicros() < other.queueDelayMicros();
    }
    return one.outstanding() < other.outstanding();
  }

  private static int candidateCount(PlacementQuery query) {
    return Math.max(1, query.candidates().size());
  }

  private static PlacementPlan rotatedPlan(PlacementQuery query, int start) {
    List<PlacementCandidate> order = rotate(query.candidates(), start);
    return planOf(order.subList(0, Math.min(BASELINE_OFFERS, order.size())), order, false);
  }

  private static List<PlacementCandidate> rotate(
      List<? extends PlacementCandidate> candidates, int start) {
    List<PlacementCandidate> order = new ArrayList<>(candidates.subList(start, candidates.size()));
    order.addAll(candidates.subList(0, start));
    return order;
  }

  private static PlacementPlan planOf(
      Iterable<PlacementCandidate> order, List<PlacementCandidate> ranks, boolean comparesHints) {
    List<PlannedOffer> offers = new ArrayList<>();
    for (PlacementCandidate candidate : order) {
      int rank = ranks.indexOf(candidate);
      offers.add(new PlannedOffer(candidate, rank < 0 ? ranks.size() : rank));
    }
    return new PlacementPlan(offers, comparesHints);
  }
}
