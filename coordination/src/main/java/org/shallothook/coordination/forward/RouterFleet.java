package org.shallothook.coordination.forward;

import java.util.List;
import org.shallothook.coordination.placement.RendezvousHash;

/**
 * The routers of a fleet as known to one of them.
 *
 * <p>Invariant: routers that know the same names agree on the order for each server. Immutable and
 * thread-safe.
 *
 * @param self name of the router that has this knowledge
 * @param names names of all routers, including itself
 */
public record RouterFleet(String self, List<String> names) {
  public RouterFleet {
    names = List.copyOf(names);
  }

  /** Returns the number of routers, at least one. */
  public int size() {
    return Math.max(1, names.size());
  }

  /** Returns how many routers precede this one in the order of all routers for a server. */
  int rankFor(String server) {
    long key = RendezvousHash.hashOf(server);
    long own = RendezvousHash.weight(key, RendezvousHash.hashOf(self));
    return (int)
        names.stream()
            .filter(name -> !name.equals(self))
            .mapToLong(name -> RendezvousHash.weight(key, RendezvousHash.hashOf(name)))
            .filter(weight -> Long.compareUnsigned(weight, own) > 0)
            .count();
  }
}
