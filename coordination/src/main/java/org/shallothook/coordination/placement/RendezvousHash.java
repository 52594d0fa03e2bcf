package org.shallothook.coordination.placement;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import net.openhft.hashing.LongHashFunction;

/**
 * Ranks upstreams for a key by highest random weight.
 *
 * <p>Invariant: adding or removing an upstream changes the home of a key only if that upstream is
 * or becomes the home. Stateless and thread-safe.
 */
public final class RendezvousHash {
  private static final LongHashFunction HASH = LongHashFunction.xx3();

  private RendezvousHash() {}

  /** Returns the hash of a name or another short text. */
  public static long hashOf(String text) {
    return HASH.hashChars(text);
  }

  /** Returns the hash of two hashes in order. */
  public static long combine(long first, long second) {
    return mix(mix(first) + second);
  }

  /** Returns the weight of an upstream for a key; the greatest unsigned weight is the home. */
  public static long weight(long key, long upstreamHash) {
    return mix(mix(key) ^ upstreamHash);
  }

  /**
   * Returns the first ranks for a key, the home first.
   *
   * <p>The best upstream of each failure domain goes ahead of the others, so that the leading ranks
   * of a key lie in different failure domains.
   *
   * @param candidates upstreams to rank
   * @param key key to rank for
   * @param count greatest number of ranks wanted
   */
  public static List<PlacementCandidate> ranks(
      List<? extends PlacementCandidate> candidates, long key, int count) {
    TopWeights best = new TopWeights(count);
    TopWeights bestOfDomains = new TopWeights(count);
    long mixedKey = mix(key);
    for (PlacementCandidate candidate : candidates) {
      long weight = mix(mixedKey ^ candidate.hash());
      best.add(candidate, weight);
      bestOfDomains.addOnePerDomain(candidate, weight);
    }
    Set<PlacementCandidate> seen = new HashSet<>();
    List<PlacementCandidate> ranks = new ArrayList<>(count);
    addUnseen(bestOfDomains.inOrder(), seen, ranks, count);
    addUnseen(best.inOrder(), seen, ranks, count);
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
