package org.shallothook.coordination.placement;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * List of bounded length that keeps the added candidates with the greatest weights.
 *
 * <p>Invariant: entries are in descending order of unsigned weight. Not thread-safe.
 */
final class TopWeights {
  private final PlacementCandidate[] candidates;
  private final long[] weights;
  private int size;

  /** Creates a list that keeps up to {@code capacity} candidates. */
  TopWeights(int capacity) {
    candidates = new PlacementCandidate[capacity];
    weights = new long[capacity];
  }

  /** Adds a candidate unless the list is full of greater weights. */
  void add(PlacementCandidate candidate, long weight) {
    if (isBelowAll(weight)) {
      return;
    }
    if (size == candidates.length) {
      size--;
    }
    insert(candidate, weight);
  }

  /**
   * Adds a candidate if it is the best of its failure domain so far, replacing the previous one.
   */
  void addBestOfDomain(PlacementCandidate candidate, long weight) {
    if (isBelowAll(weight)) {
      return;
    }
    for (int index = 0; index < size; index++) {
      if (candidates[index].failureDomain().equals(candidate.failureDomain())) {
        if (Long.compareUnsigned(weight, weights[index]) > 0) {
          remove(index);
          insert(candidate, weight);
        }
        return;
      }
    }
    add(candidate, weight);
  }

  /** Returns the candidates, greatest weight first. */
  List<PlacementCandidate> sortedCandidates() {
    return new ArrayList<>(Arrays.asList(candidates).subList(0, size));
  }

  /** Returns whether the list is full and none of its weights is smaller. */
  private boolean isBelowAll(long weight) {
    return size == candidates.length
        && (size == 0 || Long.compareUnsigned(weight, weights[size - 1]) <= 0);
  }

  private void insert(PlacementCandidate candidate, long weight) {
    int index = size;
    while (index > 0 && Long.compareUnsigned(weight, weights[index - 1]) > 0) {
      candidates[index] = candidates[index - 1];
      weights[index] = weights[index - 1];
      index--;
    }
    candidates[index] = candidate;
    weights[index] = weight;
    size++;
  }

  private void remove(int index) {
    for (int next = index + 1; next < size; next++) {
      candidates[next - 1] = candidates[next];
      weights[next - 1] = weights[next];
    }
    size--;
  }
}
