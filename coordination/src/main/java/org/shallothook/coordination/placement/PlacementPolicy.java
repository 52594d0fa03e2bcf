package org.shallothook.coordination.placement;

/**
 * Chooses the upstreams that are offered a request, and their order.
 *
 * <p>Invariant: equal queries give equal plans; a policy keeps no state. Implementations are
 * thread-safe. {@link PlacementStrategy} has the usual ones.
 */
@FunctionalInterface
public interface PlacementPolicy {
  /** Returns the plan for one request; it may be empty only where there is no candidate. */
  PlacementPlan plan(PlacementQuery query);
}
