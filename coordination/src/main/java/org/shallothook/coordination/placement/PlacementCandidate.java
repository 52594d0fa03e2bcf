package org.shallothook.coordination.placement;

/**
 * An upstream as placement sees it.
 *
 * <p>Invariant: name, hash and failure domain never change. Not thread-safe: read on the decision
 * thread.
 */
public interface PlacementCandidate {
  /** Returns the name of the upstream. */
  String name();

  /** Returns the hash of the name, as {@link RendezvousHash#hashOf(String)} gives it. */
  long hash();

  /** Returns the failure domain of the upstream. */
  String failureDomain();

  /** Returns the number of requests that this router has open at the upstream. */
  int outstanding();

  /** Returns the latest reported queue delay, in microseconds; the report lags. */
  long queueDelayMicros();
}
