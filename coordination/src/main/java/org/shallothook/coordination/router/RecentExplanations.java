package org.shallothook.coordination.router;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.shallothook.state.collection.BoundedMaps;
import org.shallothook.state.request.RequestId;

/**
 * Bounded store of the explanations of recently finished requests.
 *
 * <p>Invariant: holds at most {@code capacity} explanations; the oldest is evicted first. Not
 * thread-safe.
 */
final class RecentExplanations {
  private final int capacity;
  private final Map<RequestId, Explanation> explanations = new LinkedHashMap<>();

  RecentExplanations(int capacity) {
    this.capacity = capacity;
  }

  void add(Explanation explanation) {
    explanations.put(explanation.request(), explanation);
    BoundedMaps.removeEldest(explanations, capacity);
  }

  Optional<Explanation> find(RequestId request) {
    return Optional.ofNullable(explanations.get(request));
  }
}
