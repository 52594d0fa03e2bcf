package org.shallothook.coordination.placement;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import net.openhft.hashing.LongHashFunction;

/**
 * Ranks upstreams for a key by rendezvous hashing (highest random weight).
 *
 * <p>Invariant: adding or removing an upstream changes the home of a key only if that upstream is
 * or becomes the home. Stateless and thread-safe.
 */
public final class RendezvousHash {
  private static final LongHashFunction HASH = LongHashFunction.xx3();

  private RendezvousHash() {}

  /** Returns the hash of a name or another short string. */
  public static long hashOf(String text) {
    return HASH.hashChars(text);
  }

  /** Returns the hash of an ordered pair of hashes. */
  public static long combine(long first, long second) {
    return mix(mix(first) + second);
  }

  /** Returns the weight of an upstream for a key; the home has the greatest unsigned weight. */
  public static long weight(long key, long upstreamHash) {
    return mix(mix(key) ^ upstreamHash);
  }

  /**
   * Returns the upstreams with the first ranks for a key, the home first.
   *
   * <p>The best upstream of each failure domain ranks before all others, so that the leading ranks
   * of a key are in different failure domains.
   *
   * @param candidates upstreams to rank
   * @param key key to rank for
   * @param count maximum number of ranks to return
   */
  public static List<PlacementCandidate> ranks(
      List<? extends PlacementCandidate> candidates, long key, int count) {
    TopWeights best = new TopWeights(count);
    TopWeights bestOfDomains = new TopWeights(count);
    long mixedKey = mix(key);
    for (PlacementCandidate candidate : candidates) {
      long weight = mix(mixedKey ^ candidate.hash());
      best.add(candidate, weight);
      bestOfDomains.addBestOfDomain(candidate, weight);
    }
    Set<PlacementCandidate> seen = new HashSet<>();
    List<PlacementCandidate> ranks = new ArrayList<>(count);
    addUnseen(bestOfDomains.sortedCandidates(), seen, ranks, count);
    addUnseen(best.sortedCandidates(), seen, ranks, count);
    return ranks;
  }

  private static void addUnseen(
      List<PlacementCandidate> source,
      Set<PlacementCandidate> seen,
      List<PlacementCandidate> target,
      int count) {
    for (PlacementCandidate candidate : source) {
      if (target.size() < count && seen.add(candidate)) {
        target.add(candidate);
      }
    }
  }

  /** Finalizer of SplitMix64: every input bit changes about half of the output bits. */
  private static long mix(long value) {
    long mixed = value + 0x9e3779b97f4a7c15L;
    mixed = (mixed ^ (mixed >>> 30)) * 0xbf58476d1ce4e5b9L;
    mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
    return mixed ^ (mixed >>> 31);
  }
}
