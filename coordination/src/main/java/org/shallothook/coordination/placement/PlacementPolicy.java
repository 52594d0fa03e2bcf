package org.shallothook.coordination.placement;

/**
 * Chooses the upstreams that are offered a request, and their order.
 *
 * <p>Invariant: equal queries give equal plans; a policy keeps no state. Implementations are
 * thread-safe. {@link PlacementStrategy} contains the policies of the router.
 */
@FunctionalInterface
public interface PlacementPolicy {
  /** Returns the plan for one request, which is empty only if there is no candidate. */
  PlacementPlan plan(PlacementQuery query);
}
