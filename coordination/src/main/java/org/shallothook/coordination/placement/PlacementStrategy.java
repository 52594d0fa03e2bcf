package org.shallothook.coordination.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Placement policies that ship with the router: prefix affinity, and baselines to compare it with.
 *
 * <p>Invariant: a constant keeps no state. Immutable and thread-safe.
 */
public enum PlacementStrategy implements PlacementPolicy {
  /**
   * Sends prompts that share an opening to the same few upstreams.
   *
   * <p>The home set of a prompt is the leading ranks of its deepest shared level, as many as the
   * level is spread over. The conversation picks within the set, so that its turns meet again.
   */
  PREFIX_AFFINITY {
    @Override
    public PlacementPlan plan(PlacementQuery query) {
      PrefixLevel home = PrefixLevel.homeOf(query.levels());
      int spread = Math.max(1, query.spread().applyAsInt(home));
      List<PlacementCandidate> ranks =
          RendezvousHash.ranks(query.candidates(), home.hash(), spread + SPARE_RANKS);
      int homes = Math.min(spread, ranks.size());
      long conversation = query.levels().get(0).hash();
      List<PlacementCandidate> set = new ArrayList<>(ranks.subList(0, homes));
      set.sort(byFallingWeight(conversation));
      moveLoadedBack(set, query.candidates());
      Set<PlacementCandidate> order = new LinkedHashSet<>(set);
      addShallowerHomes(order, query, home);
      order.addAll(ranks);
      addLeastLoaded(order, query.candidates());
      return planOf(order, ranks, true);
    }
  },

  /** Any upstream, each as likely. */
  RANDOM {
    @Override
    public PlacementPlan plan(PlacementQuery query) {
      return rotated(query, Math.floorMod(query.random(), divisor(query)));
    }
  },

  /** Each upstream in turn. */
  ROUND_ROBIN {
    @Override
    public PlacementPlan plan(PlacementQuery query) {
      return rotated(query, Math.floorMod(query.sequence(), divisor(query)));
    }
  },

  /** The upstream with the fewest requests of this router open; ties by turn. */
  LEAST_OUTSTANDING {
    @Override
    public PlacementPlan plan(PlacementQuery query) {
      int start = Math.floorMod(query.sequence(), divisor(query));
      List<PlacementCandidate> order = rotate(query.candidates(), start);
      order.sort(Comparator.comparingInt(PlacementCandidate::outstanding));
      return planOf(order.subList(0, Math.min(BASELINE_OFFERS, order.size())), order, false);
    }
  },

  /** The home of the shallowest level, whatever its load. */
  CONSISTENT_HASHING {
    @Override
    public PlacementPlan plan(PlacementQuery query) {
      PrefixLevel shallowest = query.levels().get(query.levels().size() - 1);
      List<PlacementCandidate> ranks =
          RendezvousHash.ranks(query.candidates(), shallowest.hash(), BASELINE_OFFERS);
      return planOf(ranks, ranks, false);
    }
  };

  private static final int SPARE_RANKS = 3;
  private static final int BASELINE_OFFERS = 4;
  private static final int SPILL_OFFERS = 2;
  private static final double LOAD_BOUND = 1.5;
  private static final int LOAD_ALLOWANCE = 4;

  private static void addShallowerHomes(
      Set<PlacementCandidate> order, PlacementQuery query, PrefixLevel home) {
    for (PrefixLevel level : query.levels()) {
      if (level.kind().compareTo(home.kind()) > 0) {
        order.addAll(RendezvousHash.ranks(query.candidates(), level.hash(), 1));
      }
    }
  }

  private static Comparator<PlacementCandidate> byFallingWeight(long key) {
    return (first, second) ->
        Long.compareUnsigned(
            RendezvousHash.weight(key, second.hash()), RendezvousHash.weight(key, first.hash()));
  }

  private static void moveLoadedBack(
      List<PlacementCandidate> set, List<? extends PlacementCandidate> all) {
    long outstanding = 0;
    for (PlacementCandidate candidate : all) {
      outstanding += candidate.outstanding();
    }
    double bound = LOAD_ALLOWANCE + LOAD_BOUND * outstanding / Math.max(1, all.size());
    set.sort(Comparator.comparing(candidate -> candidate.outstanding() > bound));
  }

  private static void addLeastLoaded(
      Set<PlacementCandidate> order, List<? extends PlacementCandidate> candidates) {
    for (int spill = 0; spill < SPILL_OFFERS; spill++) {
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

  /** Compares without a comparator, as it is called twice for every upstream. */
  private static boolean isLessLoaded(PlacementCandidate one, PlacementCandidate other) {
    if (one.queueDelayMicros() != other.queueDelayMicros()) {
      return one.queueDelayMicros() < other.queueDelayMicros();
    }
    return one.outstanding() < other.outstanding();
  }

  private static int divisor(PlacementQuery query) {
    return Math.max(1, query.candidates().size());
  }

  private static PlacementPlan rotated(PlacementQuery query, int start) {
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
